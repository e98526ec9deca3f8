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
