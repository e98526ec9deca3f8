Feature: Upstreams that ask hosts for rest, or leave

  Scenario Outline: One replica turns requests away and asks for rest
    # A replica that asked a host for rest goes on getting its requests, and
    # callers are refused beside replicas that have room.
    Given 8 hosts before three plain replicas
    When one turns all away and asks for <rest> s of rest
    And 45 requests a second come for 8 s
    Then no host sends it anything within its rest
    And all that came are answered or run

    Examples:
      | rest |
      | 3    |
      | 0.8  |
      | 30   |

  Scenario: All replicas ask for rest
    # Callers are told to come back before anyone takes them.
    Given 8 hosts before three plain replicas
    When all turn all away and ask for 3 s of rest
    And 45 requests a second come for 6 s
    Then no host sends it anything within its rest
    And whoever is refused beside a rest is told to come back after it

  Scenario: A replica that has rested
    # A replica that is well again gets nothing any more.
    Given 8 hosts before three plain replicas
    When one turns all away and asks for 3 s of rest
    And 45 requests a second come for 4 s
    And it takes requests again
    And 45 requests a second come for 8 s
    Then it gets its share in the last 3 s

  Scenario: The first engine of a path asks for rest
    # An engine that asked for rest goes on getting requests, or parts of them.
    Given 8 hosts before a chain of engines in each data centre
    When the first engine of a data centre asks for 3 s of rest
    And 12 streams a second come for 8 s
    Then no host sends it anything within its rest
    And all that came are answered or run

  Scenario: Another start of a replica that asked for rest
    # What its former start asked for holds it back.
    Given 8 hosts before three plain replicas
    When one turns all away and asks for 30 s of rest
    And 45 requests a second come for 4 s
    And the replica that rests starts again
    And 45 requests a second come for 3 s
    Then the new start gets its share

  Scenario: A replica tells in its answers that it leaves
    # A replica whose entry still says ready is sent requests until it is gone.
    Given 8 hosts before three plain replicas
    When one tells in its answers that it leaves
    And 45 requests a second come for 6 s
    Then no host sends it anything later than 2 s after it was told
    And all that came are answered or run
