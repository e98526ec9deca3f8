Feature: Retries of hosts that start again as processes

  Scenario: All hosts are killed, and start with the settings of their first start
    # Guards against retries beyond the budget by hosts that conclude from their
    # settings that none were sent before their start.
    Given a site of 3 hosts, with 36 requests a second and 20 retries allowed
    And hosts that start again with the settings of their first start
    When all hosts are killed
    Then no window of a service has more retries than allowed
    And no request reaches more upstreams than allowed

  Scenario: A host starts, and no update passes between it and the others
    # Guards against retries beyond the budget by a host that takes itself for the
    # only one, since its settings name no other.
    Given a site of 3 hosts, with 36 requests a second and 20 retries allowed
    When a host starts unheard
    Then no window of a service has more retries than allowed
    And no request reaches more upstreams than allowed

  Scenario: No update passes between any hosts, though the store lists them all
    # Guards against hosts that have the whole retry budget, or next to none for
    # good, since they hear nobody.
    Given a site of 3 hosts, with 36 requests a second and 20 retries allowed
    When all hosts start unheard
    Then no window of a service has more retries than allowed
    And at least a third of the retries that are allowed are sent
    And each host shares the retry budget with the 2 others
