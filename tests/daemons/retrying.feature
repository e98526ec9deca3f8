Feature: Retries of hosts that run as processes

  Scenario Outline: <history>
    # Guards against more retries in a window than all hosts together may send,
    # as upstreams count them.
    Given a site of 3 hosts, with 36 requests a second and 20 retries allowed
    When <history>
    Then no window of a service has more retries than allowed
    And no request reaches more upstreams than allowed

    Examples:
      | history                              |
      | upstreams read late                  |
      | upstreams fail while all hosts stop  |

  Scenario: A burst of callers ends while upstreams fail
    # Guards against more retries than allowed, since hosts keep loans of the
    # budget from a time with more requests.
    Given a site of 3 hosts, with 36 requests a second and 20 retries allowed
    When a burst of callers ends
    Then no window of a service has more retries than allowed
    And no request reaches more upstreams than allowed

  Scenario: Callers leave while upstreams read late
    # Guards against more retries than allowed, since those whose callers have
    # left reach upstreams after their places in the budget are given away.
    Given a site of 3 hosts, with 36 requests a second and 20 retries allowed
    And callers that wait for 1 s
    When callers leave and upstreams read late
    Then no window of a service has more retries than allowed
    And no request reaches more upstreams than allowed
