Feature: Requests that wait for a thread

  Scenario: More requests than threads
    # Guards against a request that lasts longer than its route allows, since its
    # time began only when a thread took it up.
    Given a host with two threads, and no decisions
    When 6 requests that may last 1 s come at once
    Then each answer comes within 0.5 s of the time limit
