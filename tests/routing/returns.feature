Feature: Return times of callers refused for lack of capacity

  Scenario Outline: Demand of 1.2 times the capacity for 5 s, then of 0.8
    # Guards against callers that are told to return while there is still no
    # capacity, or all at once: nearly half of a day's attempts ended with 503.
    When <runs> runs of <hosts> hosts in <places> data centres have this demand
    Then fewer than 5 in 100 of the callers that return on time are refused again
    And callers that return early are refused at least as often
    And less than 5 in 100 of the capacity is idle while callers are to return

    Examples:
      | hosts | places | runs |
      | 8     | 2      | 8    |
      | 60    | 3      | 5    |
      | 195   | 5      | 3    |

  Scenario Outline: A caller honours a third of its remaining time
    # Guards against callers that return at a time of their own choice, because
    # the time that they were told is beyond what they wait for.
    Given a host that answers <rate> requests a second, one of 100
    When 40 callers with <left> s left are refused
    Then they are told to return within <longest> s, at different times

    Examples:
      | rate | left | longest |
      | 1    | 20   | 6.67    |
      | 1    | 2.1  | 0.7     |
      | 0    | 1.5  | 0.5     |
      | 1    | 600  | 10      |
      | 1    | 0    | 0       |

  Scenario: The rate of the service is not known yet
    # Guards against a host that has just started and tells all callers the same
    # time.
    Given a host that answers 0 requests a second, one of 100
    When 40 callers with 20 s left are refused
    Then they are told to return after 0.7 to 2 s, at different times

  Scenario: Only the upstreams that this host tried failed
    # Guards against callers that wait although other hosts have capacity.
    Given a host that answers 1 request a second, one of 100
    When a caller is refused after failed attempts and nothing else is known
    Then it is told to return within 0.1 s

  Scenario: More urgent callers return earlier
    # Guards against urgent callers that find the capacity taken by others.
    Given a host that answers 1 request a second, one of 100
    When 40 callers of priority 0 and 40 of priority 2 are refused in turn
    Then those of priority 0 are told earlier times on average

  Scenario: Promises of other hosts
    # Guards against hosts that each refuse few callers and all promise the same
    # half second.
    Given a host that answers 1 request a second, one of 100
    When a peer has promised 30 callers the half second at 5 s
    And a caller with 20 s left is refused during an overload
    Then it is told to return after more than 5.5 s
    When the peer has been silent for 1 s
    Then no promises are known but this host's own

  Scenario: Another host becomes the speaker of a data centre
    # Guards against promises of a data centre that count twice.
    Given a host that answers 1 request a second, one of 100
    When two speakers of another data centre and a local peer publish 4 promises
    Then 8 promises are known
    And the sum of this data centre has 4 promises

  Scenario: Invalid promises
    # Guards against an invalid update that shifts all return times.
    Given a host that answers 1 request a second, one of 100
    When a peer publishes negative, huge, fractional and too many numbers
    Then 0 promises are known

  Scenario: A refused caller returns to the same host
    # Guards against return times whose effect can't be seen in the log.
    Given a chain of engines with memory for about 45000 tokens
    When a request that finds no capacity is refused, and its caller returns early
    Then the log has its return as early, and the metrics count it
    When it is refused again
    Then 1 return is counted, of which 1 was refused again

  Scenario: Many refused callers
    # Guards against memory that grows with the callers that never return.
    Given a chain of engines with memory for about 45000 tokens
    When 600 requests are refused and all their callers return
    Then 512 returns are counted, of which 0 were refused again

  Scenario Outline: A retry time on the wire
    # Guards against callers that all wait a whole second for capacity that is
    # free at once, as Retry-After is rounded up.
    Then a retry time of <seconds> s with <decimals> decimals is sent as "<text>"

    Examples:
      | seconds | decimals | text |
      | 0.05    | 2        | 0.05 |
      | 1.234   | 2        | 1.23 |
      | 0.001   | 2        | 0.01 |
      | 0.05    | 0        | 1    |
      | 2.4     | 0        | 2    |
