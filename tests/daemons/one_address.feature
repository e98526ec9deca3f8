Feature: Hosts at one address, told apart by their ports alone

  Scenario Outline: Hosts of <places> share the retry budget
    # Guards against hosts that take another one at their address for themselves:
    # each has the whole retry budget, or none ever has any.
    Given a site of 3 hosts at one address in <places>, with 36 requests a second and 20 retries allowed
    When nothing happens
    Then no window of a service has more retries than allowed
    And at least a third of the retries that are allowed are sent
    And each host shares the retry budget with the 2 others

    Examples:
      | places             |
      | one data centre    |
      | three data centres |
