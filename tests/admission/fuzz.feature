@fuzz
Feature: Quarantine of requests that crash upstreams, on several hosts

  Scenario: Hosts quarantine what crashed enough upstreams, unless answered
    # Failure: a request that crashes engines is sent again by a host that got
    # the updates late, or one that runs beside it is refused permanently.
    # Sequence: lost datagrams, broken connections to live upstreams, answers
    # between crashes. Cause: crashes counted twice, or after an answer.
    When the quarantine machine runs 200 histories of 40 steps
    Then the oracle found nothing

  Scenario: Hosts quarantine the segment that crashes upstreams, and no other
    # Guards against a segment of sound requests that is quarantined, and against
    # a bad one that hosts go on sending since they hear of each other late.
    When the segments machine runs 200 histories of 40 steps
    Then the oracle found nothing
