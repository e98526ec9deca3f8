Feature: Restarts of upstreams, and untrusted entries

  Background:
    Given a list with engines e-1 and e-2, and hosts that read it

  Scenario Outline: An entry of another writer
    # Guards against a good engine that disappears from the list, and against
    # requests that fail with a TypeError: another writer adds an entry with the
    # address of a good engine. Trust in any decodable entry causes both.
    When an entry "x" at the address of e-1 is added with <field> = <value>
    Then every host uses e-1 and e-2 alone
    And every host has logged "x" once, for "<reason>"

    Examples:
      | field        | value                              | reason       |
      | state        | "resting"                          | state        |
      | state        | 7                                  | state        |
      | service      | "unheard-of"                       | service      |
      | service      | {"name": "llm"}                    | service      |
      | zone         | ["kl-hall"]                        | zone         |
      | route_kind   | ["l4"]                             | route_kind   |
      | route_kind   | "h900"                             | accelerator  |
      | address      | 17                                 | address      |
      | address      | null                               | address      |
      | address      | "nowhere"                          | address      |
      | address      | "10.0.0.1:0"                       | address      |
      | address      | "10.0.0.1:http"                    | address      |
      | slots        | -3                                 | slots        |
      | slots        | 9.5                                | slots        |
      | slots        | true                               | slots        |
      | layer_count  | {"source": -4, "to": 10}           | source       |
      | layer_count  | {"source": 0, "to": 99}            | layers       |
      | layer_count  | {"source": 30, "to": 10}           | layer_count  |
      | layer_count  | "0-20"                             | layer_count  |
      | born         | "1764700000000"                    | born         |
      | born         | 1764700000000.5                    | born         |
      | seq_no       | "4"                                | seq_no       |
      | cold_left_ms | {}                                 | cold_left_ms |

  Scenario Outline: An entry that can't be decoded
    When the bytes <bytes> are written as "x"
    Then every host uses e-1 and e-2 alone
    And every host has logged "x" once, for "<reason>"

    Examples:
      | bytes      | reason |
      | {"service" | bytes  |
      | [1, 2]     | value  |
      | null       | value  |
      | \xff\xfe   | bytes  |

  Scenario Outline: A bad record under a good upstream's key
    # The upstream gets no requests until its next heartbeat, however a host
    # reads the record. Its layers count as held meanwhile, so that no other
    # engine loads them for a record that is replaced a second later.
    When the record of e-1 is replaced by one with <field> = <value>
    Then every host uses e-2 alone
    And the hosts that knew e-1 still count its layers
    When e-1 writes its entry again
    Then every host uses e-1 and e-2 alone

    Examples:
      | field   | value        |
      | state   | "resting"    |
      | service | "unheard-of" |
      | slots   | null         |

  Scenario: A bad record that is not replaced
    When the record of e-1 is replaced by one with state = "resting"
    And 4.1 s pass on the hosts' clocks
    Then no host knows e-1

  Scenario: An entry older than the configuration of its service
    When an entry "e-3" of service "later" is added
    Then every host uses e-1 and e-2 alone
    When a configuration with service "later" is in force
    Then every host uses e-1, e-2 and e-3

  Scenario: A draining upstream restarts under its name
    # Guards against a healthy engine that never gets requests again: it drains,
    # ends, and restarts under the same name.
    When e-1 says that it is draining
    Then every host uses e-2 alone
    When e-1 starts again, empty
    Then every host uses e-1 and e-2 alone
    And every host knows that e-1 holds nothing

  Scenario: A delayed entry of the former start
    When e-1 starts again, empty
    And its entry from before is written once more
    Then every host knows that e-1 holds nothing
    When the entry of e-1 is removed
    And its entry from before is written once more
    Then every host that knew its new start uses e-2 alone

  Scenario: The state of an upstream ends with its start
    # Guards against a restarted engine that counts as slow, full and faulty.
    When e-1 was down, refused, failed, was slow and had requests
    And e-1 starts again, empty
    Then nothing of that is known of e-1

  Scenario: An engine reports a newer start than its entry
    # Guards against requests that are answered 421: an engine crashes, restarts
    # under its name and holds nothing; until its next heartbeat is read, its
    # entry from before says that it holds its layers.
    When a probe of e-1 brings a report of a newer start
    Then the host that asked knows that e-1 holds nothing

  Scenario: A report from before a restart
    When e-1 starts again, empty
    And a probe of e-1 brings a report of its former start
    Then every host knows that e-1 holds nothing

  Scenario: A peer update on a former start
    # Guards against an engine that counts as holding the layers from before its
    # crash.
    When e-1 starts again, empty
    And a peer update says that the former start of e-1 is dead and holds "0-31"
    Then every host uses e-1 and e-2 alone
    And every host knows that e-1 holds nothing

  Scenario: An entry without the time of its start
    # Older deployments write none: an upstream has a new name after a crash.
    When an entry "old" without born is added
    Then every host uses e-1, e-2 and old

  Scenario: Another writer's entry without born, at a good address
    When an entry "x" without born is added at the address of e-1
    Then every host uses e-1 and e-2 alone
