Feature: Soak test under random faults

  Scenario Outline: Faults that the soak test detects
    When a request to "<path>" is answered <status> with "<body>" after <runs> runs
    Then the soak says "<finding>"

    Examples:
      | path      | status | body  | runs | finding                                   |
      | /notes/x  | 200    | 12345 | 1    |                                           |
      | /notes/x  | 200    | 12345 | 2    |                                           |
      | /notes/x  | 200    | 1234  | 1    | whole, but its events are                 |
      | /notes/x  | 200    | 12234 | 1    | whole, but its events are                 |
      | /notes/x  | 200    | 12345 | 0    | answered without a run                    |
      | /notes/x  | 0      | 12    | 1    |                                           |
      | /orders/x | 200    |       | 1    |                                           |
      | /orders/x | 502    |       | 1    |                                           |
      | /orders/x | 502    |       | 2    | ran 2 times                               |
      | /orders/x | 503    |       | 0    |                                           |
      | /orders/x | 503    |       | 1    | answered 503, though it ran               |
      | /cards/x  | 503    |       | 1    |                                           |

  Scenario: A request that gets the answer of another one
    When a request gets the answer of another one
    Then the soak says "got the answer of"

  Scenario Outline: Bound on engines that a crashing request may reach
    When it was sent at <times> s and started <runs> times
    Then the soak counts <late> beyond the bound

    Examples:
      | times         | runs      | late |
      | 0, 1, 2, 9    | 2 1 0 0   | 0    |
      | 0, 1, 2, 9    | 2 1 0 2   | 2    |
      | 0, 1, 4, 5    | 2 1 2 2   | 0    |
      | 0, 1, 6, 9    | 2 1 2 2   | 4    |
      | 0, 1, 2, 9    | 1 0 1 0   | 0    |

  Scenario: Two hosts under faults, and a request that crashes engines
    When a site of 2 hosts is soaked for 12 s with seed 11, and a request that crashes engines
    Then no fault is found, and answers of each kind arrived
    And engines crashed under it

  Scenario: Two hosts under faults
    # Guards against answers with missing events, non-idempotent calls that run
    # twice, refusals as not run of calls that ran, and hosts that don't recover.
    When a site of 2 hosts is soaked for 12 s with seed 7
    Then no fault is found, and answers of each kind arrived

  Scenario: Three hosts under faults, at one address
    # Guards against the same where hosts are told apart by their ports alone.
    When a site of 3 hosts at one address is soaked for 12 s with seed 51
    Then no fault is found, and answers of each kind arrived

  Scenario: Two hosts under faults, and a store that is replaced by copies
    When a site of 2 hosts is soaked for 12 s with seed 3, and copies of the store
    Then no fault is found, and answers of each kind arrived
    And the store was replaced by copies

  Scenario: Three hosts under faults, and hosts that are cut off from upstreams
    # Guards against the same while hosts reach upstreams through others, which
    # fail as well.
    When a site of 3 hosts is soaked for 14 s with seed 21, and hosts that are cut off
    Then no fault is found, and answers of each kind arrived
    And hosts were cut off

  Scenario: Two hosts under faults, and engines that break off and stand still
    # Guards against more replicas than the route allows, while engines are silent
    # and go on, and others end.
    When a site of 2 hosts is soaked for 20 s with seed 31, and engines that stand still
    Then no fault is found, and answers of each kind arrived
    And engines stood still

  Scenario: Two hosts under faults, and upstreams that read nothing for a while
    # Guards against calls refused as not run that an upstream reads later.
    When a site of 2 hosts is soaked for 12 s with seed 41, and upstreams that read nothing
    Then no fault is found, and answers of each kind arrived
    And upstreams read nothing

  Scenario: Two hosts under faults, and upstreams that send throttling headers
    # Guards against requests beyond an upstream's rate limit, during its backoff,
    # or long after it announced that it leaves.
    When a site of 2 hosts is soaked for 14 s with seed 5, and upstreams that send throttling headers
    Then no fault is found, and answers of each kind arrived
    And upstreams sent throttling headers

  Scenario Outline: Requests against throttling headers that the soak test detects
    When an upstream that sends "<wish>" gets requests of two hosts at <times> s
    Then the soak finds "<finding>"

    Examples: each time is followed by the letter of the host
      | wish                | times                                  | finding           |
      | Server-Limit 0.2    | 0a 1a 2a 3a 4a 5a                      |                   |
      | Server-Limit 0.2    | 0a 0b 2a 2.1a 2.2b 2.3b 3a 3.1a 3.2b   | got 7 in 4 s      |
      | Server-Limit 0.2    | 0a 0.1a 0.2a 0.3a 0.4a 0.4a 0.4a 0.4a  |                   |
      | Retry-After 3       | 0a 0.4a 0.6a 0.7b 2a                   |                   |
      | Retry-After 3       | 0a 0.6a 0.7a 2a                        | got 3 from a      |
      | Server-Leaving 1    | 0a 1.9a 2.1b                           |                   |
      | Server-Leaving 1    | 0a 2.1a                                | got one from a    |
