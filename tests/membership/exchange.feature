Feature: Peer updates about requests in flight

  Scenario: A datagram carries all fields
    Given an update with requests in flight, slow and dead engines and layers
    When it is sent as a datagram
    Then the same update is decoded from it

  Scenario: A datagram with one field of another type
    Given an update with requests in flight, slow and dead engines and layers
    When one field of its datagram after the other is of another type
    Then each is refused, also after a whole one

  @fuzz
  Scenario: A datagram is decoded independently of the one before it
    # Guards against changed fields taken from a host's former datagram.
    When hosts send arbitrary updates, one after the other
    Then each is decoded as it was sent

  Scenario: Datagrams of very many hosts
    # Guards against memory that grows with every address ever received.
    When more hosts send updates than are cached
    Then only as many last datagrams are in memory as are cached

  Scenario Outline: A datagram that is not a peer update
    When the datagram "<bytes>" is read
    Then it is ignored

    Examples:
      | bytes                          |
      | not json                       |
      | []                             |
      | {"host": "a"}                  |
      | ["10.1.0.1","b",0,[1,2,3,0],{},{},[],{},{},{}]|

  Scenario Outline: A datagram with one invalid field
    # Guards against updates that raise an exception only when they are used.
    Given an update with requests in flight, slow and dead engines and layers
    When field <place> of its datagram is <value>
    Then it is refused for its "<field>"

    Examples:
      | place | value           | field       |
      | 0     | "a"             | host        |
      | 1     | ["b"]           | data_centre |
      | 2     | -1              | store_age   |
      | 3     | [1,2,3]         | known       |
      | 3     | [-1,2,3,0]      | version     |
      | 3     | [1e999,2,3,0]   | bytes       |
      | 4     | {"x":1}         | usage       |
      | 4     | {"x":[-1,5]}    | usage       |
      | 5     | {"x":"slow"}    | pace        |
      | 6     | [7]             | dead        |
      | 7     | {"x":[9,4,0]}   | layers      |
      | 8     | {"a":"b"}       | host        |
      | 9     | {"x":null}      | excess      |
      | 10    | [7]             | suspects    |
      | 11    | {"x":[1,2,3]}   | spent       |
      | 12    | {"f":{"x":-1}}  | ended       |
      | 13    | 1               | is_new      |
      | 14    | {"x":[-1,0,0]}  | limits      |

  Scenario: Hosts that know one seed find each other
    # Guards against key-value cache that is assigned several times over: hosts
    # without each other's updates count only their own requests.
    Given three hosts on this machine of which two know only the first
    Then within 5 s each hears the other two
    And each knows what the others have in flight

  Scenario: A host that is cut off keeps to its part of the retry budget
    # Guards against three times the allowed retries: hosts lose each other and
    # each takes the whole retry budget.
    Given a host that has heard of 7 others
    When for 10 s it hears one of them
    Then 8 hosts share the retry budget
    When for 600 s it hears nobody
    Then 8 hosts share the retry budget
    When for 600 s it hears one of them
    Then 2 hosts share the retry budget

  Scenario: A host that starts during a network partition
    # Guards against a host that takes its own data centre for the only one.
    Given a host of one of 3 data centres that has heard of 7 others in its own
    Then 24 hosts share the retry budget

  Scenario Outline: Which host reads the store for the others
    # Guards against calls to the store that grow with the hosts.
    Given host "10.1.0.20" in "kl-hall"
    And it heard of host "<peer>" in "<data centre>" <age> s ago, whose store answered <store> s ago
    Then it <verdict> read for the others

    Examples:
      | peer      | data centre | age | store | verdict  |
      | 10.1.0.9  | kl-hall     | 0.3 | 0.5   | need not |
      | 10.1.0.30 | kl-hall     | 0.3 | 0.5   | must     |
      | 10.1.0.9  | kl-hall     | 1.5 | 0.5   | must     |
      | 10.1.0.9  | kl-hall     | 0.3 | 1.3   | must     |
      | 10.2.0.9  | pg-hall     | 0.3 | 0.5   | must     |

  Scenario Outline: A store that hundreds of hosts can't reach
    # Guards against a third of a day's calls to the store being made, and
    # refused, while it is down: no host's list is fresh, so every host reads
    # three topics for the others once a second.
    Given <hosts> hosts of a data centre that hear each other and have no answer
    Then in each second 3 of them read, and <drawn> others in the mean
    And within <seconds> s each has read, so that one that is served finds out

    Examples:
      | hosts | drawn | seconds |
      | 28    | 2     | 13      |
      | 195   | 2     | 96      |

  Scenario Outline: Hosts of which the store may serve a single one
    # Guards against versions that come late at all hosts of a data centre: the
    # only host that the store serves is not drawn to read for long.
    Given <hosts> hosts of a data centre that hear each other and have no answer
    Then each reads within <seconds> s from any moment

    Examples:
      | hosts | seconds |
      | 3     | 0       |
      | 4     | 1       |
      | 5     | 1       |
      | 7     | 1       |
      | 8     | 2       |
      | 9     | 2       |
      | 12    | 4       |
      | 28    | 12      |
      | 195   | 95      |

  Scenario: A store that serves one of many hosts
    # Guards against configurations and lists that are read in those seconds
    # only for which the host that is served is drawn.
    Given 28 hosts of a data centre that hear each other and have no answer
    When the store answers the last one
    Then it reads for the others in each second of a minute

  Scenario Outline: A reader whose reads of the configuration fail
    # Guards against a data centre whose hosts all wait for a configuration that
    # its reader can't read, while it reads the list.
    Given host "<me>" in "kl-hall"
    And it heard of hosts "<failing>" and "<other>", of which the first fails to read the configuration
    Then it <verdict> read for the others

    Examples:
      | me        | failing   | other     | verdict  |
      | 10.1.0.20 | 10.1.0.9  | 10.1.0.30 | must     |
      | 10.1.0.20 | 10.1.0.9  | 10.1.0.10 | need not |
      | 10.1.0.9  | 10.1.0.9  | 10.1.0.30 | need not |

  Scenario Outline: A host that the store doesn't answer, beside one that it does
    # Guards against a host that waits for the store before it asks the host
    # that has the configuration.
    Given host "10.1.0.20" in "kl-hall"
    And it heard of host "10.1.0.30" in "kl-hall" 0.3 s ago, whose store answered 0.5 s ago
    When the store answered it <store> s ago
    Then it <verdict> read for the others

    Examples:
      | store | verdict  |
      | 0.5   | must     |
      | 2.5   | must     |
      | 3.5   | need not |

  Scenario Outline: When a host that is not the reader reads the store
    # Guards against requests that reach an upstream for six seconds after it
    # left: a host learns of another list and doesn't read it.
    Given a host with version 3, digest 10, read 4 s ago
    When it hears of version <version>, digest <digest>, read <age> s ago
    Then it reads "<what>"

    Examples:
      | version | digest | age | what               |
      | 3       | 10     | 0.5 | nothing            |
      | 3       | 11     | 0.5 | list               |
      | 4       | 10     | 0.5 | configuration      |
      | 4       | 11     | 0.5 | configuration list |
      | 2       | 11     | 3.0 | nothing            |

  Scenario: Bytes between data centres
    # Guards against bytes that grow with the square of the hosts because every
    # host sends to every other: at 78 hosts the exchange cost an eighth of a
    # day's worth.
    Given host "10.1.0.20" in "kl-hall"
    And hosts 10.1.0.30, 10.1.0.31 of kl-hall that were heard now
    And hosts 10.2.0.4, 10.2.0.5 of pg-hall that were heard now
    Then it sends to 10.1.0.30, 10.1.0.31 each time
    And as speaker to 10.2.0.4, 10.2.0.5
    Given hosts 10.1.0.10 of kl-hall that were heard now
    Then it is not the speaker

  Scenario: Bytes between data centres of many hosts
    # Guards against 0.21 GB between data centres a day at 195 hosts, nearly all
    # of it peer updates: a speaker sent to each host of the other data centres.
    Given host "10.1.0.20" in "kl-hall"
    And hosts 10.2.0.4 of pg-hall that were heard now
    And 39 more hosts of pg-hall that it only knows of
    Then it sends to 10.2.0.4 of them and one more

  Scenario: A data centre without a speaker
    Given host "10.1.0.20" in "kl-hall"
    And 39 more hosts of pg-hall that it only knows of
    Then it sends to 39 of them

  Scenario: Updates from another data centre are forwarded
    Given a host of kl-hall and four of pg-hall on this machine, and no spares
    When all have heard of each other
    Then the host of kl-hall sends to one of pg-hall
    And all four keep receiving its updates

  Scenario: Evidence about prompt segments reaches all data centres
    # Guards against hosts that each need three crashes of their own, and against
    # peer updates that are lost with what arrives beside them.
    Given a host of kl-hall and four of pg-hall on this machine, and no spares
    When all have heard of each other
    And the host of kl-hall knows of a crash under prompt segments
    Then all four of pg-hall learn of it
    And all four keep receiving its updates

  Scenario: Evidence about prompt segments at a host of an older build
    Given a host of kl-hall and four of pg-hall on this machine, and no spares
    And one of them knows no such evidence
    When all have heard of each other
    And the host of kl-hall knows of a crash under prompt segments
    Then all four keep receiving its updates

  Scenario Outline: Evidence about prompt segments from any sender
    When the datagram <data> of evidence is read
    Then it is refused for its "<field>"

    Examples:
      | data                                                             | field       |
      | ["segments", "10.0.0.1", "kl-hall"]                              | segments    |
      | ["segments", "x", "kl-hall", {}]                                 | host        |
      | ["segments", "10.0.0.1", 5, {}]                                  | data_centre |
      | ["segments", "10.0.0.1", "kl-hall", []]                          | segments    |
      | ["segments", "10.0.0.1", "kl-hall", {"crashes": 4}]              | crashes     |
      | ["segments", "10.0.0.1", "kl-hall", {"crashes": [["a"]]}]        | crashes     |
      | ["segments", "10.0.0.1", "kl-hall", {"crashes": [["a", "r", ["s"], 1, 0, 0]]}] | crashes |
      | ["segments", "10.0.0.1", "kl-hall", {"crashes": [["a", "r", ["s"], true, -1, 0]]}] | crashes |
      | ["segments", "10.0.0.1", "kl-hall", {"answered": {"s": "x"}}]    | answered    |
      | ["segments", "10.0.0.1", "kl-hall", {"answered": {"s": 1e999}}]  | bytes       |

  Scenario Outline: News of slow replicas from any sender
    When the datagram <data> of slow replicas is read
    Then it is refused for its "<field>"

    Examples:
      | data                                   | field       |
      | ["slow", "10.0.0.1", "kl-hall"]        | slow        |
      | ["slow", "x", "kl-hall", {}]           | host        |
      | ["slow", "10.0.0.1", 5, {}]            | data_centre |
      | ["slow", "10.0.0.1", "kl-hall", []]    | slow        |
      | ["slow", "10.0.0.1", "kl-hall", {"i-1": -1}]    | slow  |
      | ["slow", "10.0.0.1", "kl-hall", {"i-1": "x"}]   | slow  |
      | ["slow", "10.0.0.1", "kl-hall", {"i-1": 1e999}] | bytes |

  Scenario: News of slow replicas, as many as fit into a packet
    Given a host that finds 40 replicas slow
    When its news of them is read
    Then it names the 32 slowest

  Scenario: Datagrams that arrive together
    # Guards against a host that spends most of its time on waking up, at 78
    # hosts.
    Given a host that receives updates
    When 30 hosts send it datagrams at once, one of them malformed
    Then it receives 29 updates, in fewer than 10 batches

  Scenario Outline: Which hosts ask for the duty
    Given host "10.1.0.20" in "kl-hall"
    And hosts <near> of kl-hall that were heard now
    And hosts 10.0.0.1, 10.0.0.2, 10.0.0.3 of pg-hall that were heard now
    Then it <verdict> ask for the duty

    Examples:
      | near                                        | verdict  |
      | 10.1.0.5, 10.1.0.6, 10.1.0.30               | does     |
      | 10.1.0.5, 10.1.0.6, 10.1.0.7                | does not |

  Scenario Outline: A store that other hosts of the data centre reach
    # Guards against layers that an engine reported once and that are sent to all
    # hosts for ever, so that requests go to layers that it has released: a host
    # that does not ask the store took it for unreachable.
    Given host "10.1.0.20" in "kl-hall"
    And it heard of host "<peer>" in "<data centre>" 0.3 s ago, whose store answered <store> s ago
    Then the store <verdict> to be away for it, asked <age> s ago

    Examples:
      | peer     | data centre | store | age | verdict      |
      | 10.1.0.5 | kl-hall     | 0.5   | 60  | does not seem |
      | 10.1.0.5 | kl-hall     | 9     | 60  | counts       |
      | 10.1.0.5 | kl-hall     | 9     | 0.5 | does not seem |
      | 10.2.0.5 | pg-hall     | 0.5   | 60  | counts       |

  Scenario: Which hosts are asked for a configuration
    # Guards against a reader that is busy for seconds after a change: forty
    # others all asked the same host for the configuration.
    Given host "10.1.0.20" in "kl-hall"
    And it heard now that 30 hosts have version 3
    And it heard now that 4 hosts have version 4
    Then 4 hosts are asked for the configuration, each as often

  Scenario: Hosts whose updates are missing
    # Guards against a host that is busy with others that stand still, while
    # one that runs has what it asks for.
    Given host "10.1.0.20" in "kl-hall"
    And it heard 0.9 s ago that 3 hosts have version 4
    And host "10.2.0.1" in "pg-hall" has sent version 4 0.1 s ago
    Then it asks "10.2.0.1" first for the configuration, and for the list

  Scenario: Hosts that may connect upstreams for another one
    Given host "10.1.0.1" in "kl-hall"
    And it heard of host "10.1.0.2" in "kl-hall" 0.3 s ago, whose store answered 0 s ago
    And it heard of host "10.1.0.3" in "kl-hall" 1.5 s ago, whose store answered 0 s ago
    And it heard of host "10.2.0.1" in "pg-hall" 0.3 s ago, whose store answered 0 s ago
    And it heard of host "10.2.0.2" in "pg-hall" 5.5 s ago, whose store answered 0 s ago
    Then it may ask "10.1.0.2" near by and "10.2.0.1" elsewhere
    And it opens tunnels for "10.1.0.3" and not for "10.9.0.9"

  Scenario Outline: The store lists the hosts
    # Guards against a host that takes itself for the only one.
    Given one host, which <knows>
    When the store lists <members> as members
    Then it <is> the only host as far as it knows

    Examples:
      | knows                                   | members            | is     |
      | knows no other                          | itself             | is     |
      | knows no other                          | itself and another | is not |
      | knows no other                          | another            | is not |
      | has another seed                        | itself             | is not |
      | knows that there is another data centre | itself             | is not |
      | has been told of another                | itself             | is not |

  Scenario Outline: Hosts from which no peer update comes
    # Guards against hosts that don't hear each other while no log line or metric
    # tells an operator.
    Given a host of kl-hall whose settings name a second host and pg-hall
    When updates of <heard> reach it for 10 s
    Then it reports <hosts> unheard and <data centres> silent, once

    Examples:
      | heard            | hosts    | data centres |
      | nobody           | 10.1.0.2 | pg-hall      |
      | 10.1.0.2         | no host  | pg-hall      |
      | 10.1.0.2 and all | no host  | none         |
