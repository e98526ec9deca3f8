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

  Scenario: All hosts are killed, and start with the settings of their first start
    # Guards against retries beyond the budget by hosts that conclude from their
    # settings that none were sent before their start.
    Given a site of 3 hosts, with 36 requests a second and 20 retries allowed
    And hosts that start again with the settings of their first start
    When all hosts are killed three times
    Then no window of a service has more retries than allowed
    And no request reaches more upstreams than allowed
