@fuzz
Feature: Requests that end upstreams, as several hosts know them

  Scenario: Hosts hold what ended enough, and nothing that was answered
    # Symptom: a request that ends engines is sent again by a host that heard
    # late, or one that runs beside it is refused for good. Sequence: lost
    # datagrams, connections that break while upstreams live, answers between
    # ends. Cause: ends counted twice, or for a request that was answered.
    When the quarantine machine runs 200 histories of 40 steps
    Then the oracle found nothing
