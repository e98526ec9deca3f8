Feature: Rate limits that upstreams set for all hosts together

  Scenario Outline: All hosts together stay within an upstream's limit
    # Guards against overload of an upstream by one host or by all together.
    Given <hosts> hosts before three plain replicas
    When <named> set a limit of <limit> a second
    And <rate> requests a second arrive for 12 s
    Then no upstream gets more than its limit from hosts that know it

    Examples:
      | hosts | named    | limit | rate |
      | 8     | one      | 2.9   | 45   |
      | 8     | all      | 5     | 45   |
      | 8     | one      | 0.4   | 45   |
      | 8     | all      | 0     | 45   |
      | 8     | all      | 20    | 90   |
      | 61    | all      | 2.9   | 90   |
      | 61    | all      | 0.05  | 90   |
      | 1     | all      | 2.9   | 45   |

  Scenario: All hosts together stay within the limit of a path's first engine
    # Guards against overloaded engines with the first layers that still get all
    # requests.
    Given 8 hosts before a chain of engines in each data centre
    When the first engines of two data centres set limits of 2.9 and 2.7
    And 26 streams a second arrive for 12 s
    Then no upstream gets more than its limit from hosts that know it
    And whoever is refused found the other first engine full

  Scenario: Other engines take requests beyond the limit of a first engine
    # Guards against refusals while other engines have free capacity.
    Given 8 hosts before a chain of engines in each data centre
    And a second chain in the last data centre
    When the first engines of two data centres set limits of 2.9 and 2.7
    And 26 streams a second arrive for 12 s
    Then no upstream gets more than its limit from hosts that know it
    And all requests are answered or run

  Scenario Outline: Faults and changes of hosts while a limit is in force
    # Guards against shares that add up to the limit only while nothing changes.
    Given 8 hosts before three plain replicas
    When all set a limit of 4 a second
    And 45 requests a second arrive while <what>
    Then no upstream gets more than its limit from hosts that know it

    Examples:
      | what                                      |
      | half of the hosts start again three times |
      | all hosts start again three times         |
      | their callers go from host to host        |
      | two of five datagrams are lost            |
      | the data centres don't hear each other    |
      | the limits fall from 30 to 4 and rise     |

  Scenario Outline: All callers arrive at once after an idle period
    # Guards against a burst of one request from each host, saved up while idle.
    Given <hosts> hosts before three plain replicas
    When all set a limit of <limit> a second
    And 45 requests a second arrive for 3 s
    And 0 requests a second arrive for 20 s
    And 400 requests a second arrive for 2 s
    Then no upstream gets more than its limit from hosts that know it

    Examples:
      | hosts | limit |
      | 8     | 2.9   |
      | 8     | 20    |
      | 61    | 2.9   |

  Scenario: Limits are used in full, and excess requests are refused at once
    # Guards against callers that wait in vain, get no Retry-After, or all retry
    # together.
    Given 8 hosts before three plain replicas
    When all set a limit of 5 a second
    And 45 requests a second arrive for 12 s
    Then at least 9 requests a second are answered
    And the others are refused within 0.5 s as "upstream_limited"
    And those refused in one second get Retry-After times one after the other

  Scenario Outline: A limit that is lifted
    # Guards against a recovered replica that still gets next to no requests.
    Given 8 hosts before three plain replicas
    When one set a limit of 1 a second
    And 45 requests a second arrive for 6 s
    And the limit is lifted
    And <rate> requests a second arrive at <who> for <time> s
    Then no host limits it

    Examples:
      | rate | who      | time |
      | 45   | all      | 3    |
      | 20   | one host | 8    |

  Scenario: A replica restarts after it had a limit
    # Guards against a limit that outlives the process that set it.
    Given 8 hosts before three plain replicas
    When one set a limit of 1 a second
    And 45 requests a second arrive for 4 s
    And that replica restarts
    Then no host limits it

  Scenario: An interrupted answer waits for its turn to be resumed
    # Guards against a "not run" refusal for a caller that has half an answer.
    Given 8 hosts before a chain of engines in each data centre
    When each first engine is down to 0.4 requests a second
    And 20 streams a second arrive for 4 s
    And a stream is cut after its first events
    Then it waits first in the queue
