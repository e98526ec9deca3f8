Feature: Starts of upstreams, and entries that can't be trusted

  Background:
    Given a list with engines e-1 and e-2, and hosts that read it

  Scenario Outline: An entry that is not an upstream's own
    # Symptom: a good engine is gone from the list, or requests fail with a
    # TypeError. Sequence: another writer adds an entry with the address of a
    # good engine. Cause: whatever could be decoded was believed.
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

  Scenario Outline: Bytes that are no entry
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
    # It names no upstream to use until the next heartbeat, however a host
    # reads it; its layers count as held meanwhile, so that nobody loads them
    # for a record that is replaced a second later.
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

  Scenario: A bad record that nothing replaces
    When the record of e-1 is replaced by one with state = "resting"
    And 4.1 s pass on the hosts' clocks
    Then no host knows e-1

  Scenario: An entry from before the configuration that names its service
    When an entry "e-3" of service "later" is added
    Then every host uses e-1 and e-2 alone
    When a configuration with service "later" is in force
    Then every host uses e-1, e-2 and e-3

  Scenario: A draining upstream starts again under its id
    # Symptom: a healthy engine is given no work for good. Sequence: it says
    # that it leaves, ends, and starts again under the id that it had.
    When e-1 says that it is draining
    Then every host uses e-2 alone
    When e-1 starts again, empty
    Then every host uses e-1 and e-2 alone
    And every host knows that e-1 holds nothing

  Scenario: An entry of the former start comes late
    When e-1 starts again, empty
    And its entry from before is written once more
    Then every host knows that e-1 holds nothing
    When the entry of e-1 is removed
    And its entry from before is written once more
    Then every host that knew its new start uses e-2 alone

  Scenario: What was known of an upstream ends with its start
    # Symptom: an engine that has just come counts as slow, full and faulty.
    When e-1 was down, refused, failed, was slow and had requests
    And e-1 starts again, empty
    Then nothing of that is known of e-1

  Scenario: An engine reports a newer start than its entry
    # Symptom: requests are answered 421. Sequence: an engine crashes, starts
    # again under its id, and holds nothing; its entry from before says that it
    # holds its layers until the next heartbeat is read.
    When a probe of e-1 brings a report of a newer start
    Then the host that asked knows that e-1 holds nothing

  Scenario: A report from before a restart
    When e-1 starts again, empty
    And a probe of e-1 brings a report of its former start
    Then every host knows that e-1 holds nothing

  Scenario: News of a former start
    # Symptom: an engine is believed to hold what it held before it crashed.
    When e-1 starts again, empty
    And another host tells that the former start of e-1 is dead and holds "0-31"
    Then every host uses e-1 and e-2 alone
    And every host knows that e-1 holds nothing

  Scenario: Starts that are not told
    # Older deployments: an upstream has a new id after a crash.
    When an entry "old" without born is added
    Then every host uses e-1, e-2 and old

  Scenario: Another writer's entry without born, at a good address
    When an entry "x" without born is added at the address of e-1
    Then every host uses e-1 and e-2 alone
