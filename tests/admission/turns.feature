Feature: Turns of hosts whose requests wait for the same service

  Scenario Outline: Twice as many requests as capacity
    # Guards against urgent requests that are served less often than others
    # because each host orders only its own queue: at 195 hosts, 0.46 of the
    # requests of priority 1 were served and 0.55 of those of priority 5.
    Given <hosts> hosts in <places> data centres that compete for capacity
    When <seconds> s go by in the fleet
    Then more urgent kinds are served at least as often as less urgent ones
    And each kind gets one start in ten or more
    And less than 0.05 of the capacity is idle while requests wait

    Examples:
      | hosts | places | seconds |
      | 8     | 2      | 200     |
      | 60    | 3      | 30      |
      | 195   | 3      | 13      |

  Scenario Outline: Hosts fail while requests compete
    # Guards against capacity that is left to hosts which stopped, and against a
    # host without peer updates that starts nothing or keeps others from it.
    Given 60 hosts in 3 data centres that compete for capacity
    When 10 s go by in the fleet
    And every <part> of the hosts starts to <failure>
    And 30 s go by in the fleet
    Then more urgent kinds are served at least as often as less urgent ones
    And less than 0.05 of the capacity is idle while requests wait
    And each host that runs has served 0.1 of its requests or more

    Examples:
      | part | failure     |
      | 4th  | stop        |
      | 60th | hear nobody |

  Scenario: Requests of the same priority
    # Guards against capacity that is shared by hosts instead of by requests.
    Given a host of 60 where a request ends every second
    When 80 requests wait in the fleet, 1 or 3 of them here
    Then it looks for capacity 3 times as often for 3 as for 1, and not always

  Scenario Outline: How long a request yields
    # Guards against requests held back when nothing goes ahead of them, or for
    # so long that they are refused without having looked for capacity.
    Given a host of <hosts> where a request ends every second
    When <waiting> were reported <age> s before a request of priority 3 with an objective of <objective> s
    Then it yields for <yield> s

    Examples: N@P is N requests of priority P, of the same service
      | hosts | waiting        | age | objective | yield |
      | 10    | nothing        | 0.0 | 1.0       | 0.0   |
      | 10    | 50@4           | 0.0 | 1.0       | 0.0   |
      | 10    | 3@3            | 0.0 | 1.0       | 0.0   |
      | 10    | 1@0            | 0.0 | 1.0       | 0.35  |
      | 10    | 1@0            | 0.8 | 1.0       | 0.2   |
      | 10    | 1@0            | 1.1 | 1.0       | 0.0   |
      | 10    | 50@0           | 0.0 | 1.0       | 0.55  |
      | 10    | 50@0, 1@2      | 0.0 | 1.0       | 0.6   |
      | 10    | 1000000@0      | 0.0 | 0.5       | 0.2   |
      | 10    | 50@0           | 0.0 | 0.2       | 0.0   |
      | 10    | 50@0 of others | 0.0 | 1.0       | 0.0   |

  Scenario: The speaker of another data centre changes
    # Guards against requests that count twice, and hold others back for longer.
    Given a host of 10 where a request ends every second
    When two speakers of a data centre report the same 2 requests of priority 0
    Then a request of priority 3 yields for 0.45 s

  Scenario: A speaker reports the sum of its data centre
    # Guards against hosts of other data centres that are not counted, or are
    # counted again by each speaker that passes them on.
    Given a speaker with 1 waiting request, whose data centre has 2 more
    And another data centre with 5
    Then the speaker reports 3

  Scenario: A request that yields is looked after at each tick
    # Guards against capacity that stays idle after those ahead are gone, and
    # against a log that blames missing capacity.
    Given a chain of engines with memory for about 45000 tokens
    When 1 request of priority 0 waits at another host
    And a request arrives there
    Then it waits because requests at other hosts go first
    When the other host has none any more, and a tick later
    Then the yielding request is started
