@fuzz
Feature: The list of upstreams, with entries from anyone

  Scenario: Only good entries of newest starts are used
    # Symptom: a good engine is not used, or one that does not exist is.
    # Sequence: entries of any form among good ones, restarts under the same
    # id, late entries. Cause: trust in whatever could be decoded.
    When the entries machine runs 120 histories of 40 steps
    Then the oracle found nothing

  Scenario: Hosts that follow the store across copies of it
    # Symptom: an upstream that left is given work again, or one that lives is
    # never seen. Sequence: the store comes back from a copy some seconds old,
    # and offsets are given out again. Cause: positions without the era.
    When the copies machine runs 200 histories of 30 steps
    Then the oracle found nothing
