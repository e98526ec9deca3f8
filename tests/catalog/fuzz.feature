@fuzz
Feature: Fuzzing of the list of upstreams and of restores of the store

  Scenario: Only good entries of newest starts are used
    # Guards against a good engine that is not used, and one that does not exist
    # and is: entries of any form among good ones, restarts under the same name,
    # and delayed entries. Trust in any decodable entry causes both.
    When the entries machine runs 120 histories of 40 steps
    Then the oracle found nothing

  Scenario: Hosts follow the store across restores
    # Guards against requests to a removed upstream, and against a live one that
    # is never seen: the store is restored from a copy that is some seconds old,
    # and offsets are assigned again. Positions without the era cause both.
    When the copies machine runs 200 histories of 30 steps
    Then the oracle found nothing

  Scenario: Hosts read pages that may be older than their end
    # Guards against a record that a host lacks for good, or an older value in
    # place of a known one: history is dropped while pages are behind, and hosts
    # send each other what they have.
    When the pages machine runs 200 histories of 30 steps
    Then the oracle found nothing
