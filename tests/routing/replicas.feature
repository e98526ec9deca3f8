Feature: Choice of a plain service's replica

  Scenario Outline: Equivalent replicas share the load evenly
    # Guards against one replica that gets all calls of all hosts.
    Given <hosts> hosts and 3 replicas in one data centre
    When <rate> calls a second arrive for <time> s
    Then each replica gets within 1.3 of an even share

    Examples:
      | hosts | rate | time |
      | 8     | 10   | 40   |
      | 8     | 45   | 12   |
      | 8     | 260  | 6    |
      | 61    | 45   | 12   |
      | 61    | 260  | 6    |
      | 195   | 10   | 40   |
      | 195   | 45   | 12   |
      | 195   | 260  | 6    |

  Scenario Outline: Hosts prefer the replica in their own data centre
    # Guards against calls that cross data centres without need.
    Given <hosts> hosts and 3 replicas in each data centre
    When 45 calls a second arrive for 12 s
    Then at least 80 in 100 are sent within a data centre
    And 95 in 100 are answered within 70 ms

    Examples:
      | hosts |
      | 8     |
      | 61    |
      | 195   |

  Scenario Outline: All callers are in one data centre
    # Guards against calls that wait at the near replica while others are idle.
    Given <hosts> hosts and 3 replicas in each data centre
    When <rate> calls a second arrive in one data centre for 8 s
    Then 95 in 100 are answered within <time> ms

    Examples:
      | hosts | rate | time |
      | 8     | 150  | 85   |
      | 61    | 220  | 200  |
      | 195   | 220  | 200  |

  Scenario Outline: A replica is slow for some seconds
    # Guards against a slow replica that keeps its load, and against a recovered
    # one that gets none because no call refreshes its response time.
    Given <hosts> hosts and 3 replicas in <where> data centre
    When 45 calls a second arrive for 3 s
    And the first replica is 10 times as slow
    And 45 calls a second arrive for 1.6 s
    Then of 45 calls a second it gets 0 to 0.8 of an even share for 2 s
    When the first replica is 1 times as slow
    And 45 calls a second arrive for 5 s
    Then of 45 calls a second it gets 0.77 to 1.3 of an even share for 5 s

    Examples:
      | hosts | where |
      | 8     | one   |
      | 61    | one   |
      | 195   | one   |
      | 8     | each  |
      | 61    | each  |
      | 195   | each  |

  Scenario Outline: A replica refuses calls while others are idle
    # Guards against refused callers: a replica that refuses at once has nothing
    # in flight and would look like the best choice.
    Given <hosts> hosts and 3 replicas in one data centre
    When 45 calls a second arrive for 3 s
    And 1 replicas fail calls as "refused"
    And 45 calls a second arrive for 10 s
    Then no caller has to return
    And no call is sent to more replicas than its route allows

    Examples:
      | hosts |
      | 8     |
      | 61    |
      | 195   |

  Scenario Outline: As many replicas as a route allows refuse calls
    # Guards against callers that are refused again when they return, while other
    # replicas are idle, and against calls at one replica more.
    Given <hosts> hosts and 4 replicas in one data centre
    When 45 calls a second arrive for 3 s
    And 2 replicas fail calls as "refused"
    And 45 calls a second arrive for 10 s
    Then no caller is refused
    And no call is sent to more replicas than its route allows

    Examples:
      | hosts |
      | 8     |
      | 61    |
      | 195   |

  Scenario: A replica breaks off calls that must not be repeated
    # Guards against callers that lose their answers to a failing replica.
    Given 8 hosts and 3 replicas in one data centre
    When 1 replicas fail calls as "cut"
    And 45 calls a second arrive for 5 s
    Then of 45 calls a second it gets 0 to 0.15 of an even share for 5 s

  Scenario: A new replica starts slowly
    # Guards against a cold replica that gets the load of all hosts at once.
    Given 8 hosts and 3 replicas in one data centre
    When 150 calls a second arrive for 3 s
    And a replica is added
    Then of 150 calls a second it gets 0 to 0.8 of an even share for 1 s
    When 150 calls a second arrive for 1 s
    Then of 150 calls a second it gets 0.77 to 1.3 of an even share for 3 s

  Scenario Outline: A replica that others are preferred to
    # Guards against a choice that ignores what is known of a replica, and
    # against a call that is refused although a replica is left.
    Given 8 hosts and 2 replicas in one data centre
    And a host that finds the first replica <state>
    Then it chooses the second one, and without that <choice>

    Examples:
      | state               | choice    |
      | failed for the call | the first |
      | refused the call    | none      |
      | at its limit        | none      |
      | paused              | the first |
      | down                | none      |
      | cut off             | the first |

  Scenario: Most replicas are paused
    # Guards against one replica that gets the load of all when all are full.
    Given 8 hosts and 4 replicas in one data centre
    When 3 of them refuse a call of a host
    Then the host chooses the last one
    And once its slots are taken also 1 of the others

  Scenario: A request waits while a replica is paused for a number of calls
    # Guards against a pause that is used up by looking for a replica in vain: a
    # waiting request is looked after ten times a second.
    Given a host with replicas "app-0 app-1"
    When a call at "app-0" is cut and 40 choices find no replica
    And the pause in time is over
    Then the next 10 calls go to "app-1"
