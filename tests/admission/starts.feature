Feature: The retry budget when hosts restart
  # Failure: on 61 hosts in three data centres, a service got more retries in ten
  # seconds than all hosts together may send, after hosts were killed or lost
  # power while upstreams failed.
  # Cause: only a host's process knew what it had spent. After a restart the host
  # had its whole share again, and in its first second, before any peer update, it
  # counted itself as the only host. A simulated day of 8 hosts had 378 retries in
  # ten seconds, 311 allowed: right after a start a host counted 1 host and a share
  # of 119 instead of 16.

  Scenario: All hosts restart while upstreams fail
    Given 61 hosts in 3 data centres, and upstreams that fail
    When all hosts restart at 16 s, 20 s and 24 s
    Then no window has more retries than all hosts together may send

  Scenario Outline: Hosts restart while upstreams fail
    Given 15 hosts in 3 data centres, and upstreams that fail
    When <hosts> restart at <when>
    Then no window has more retries than all hosts together may send
    And the worst window has at least half of them

    Examples:
      | hosts                         | when                 |
      | no hosts                      | 16 s                 |
      | all hosts                     | 16 s                 |
      | all hosts                     | 16 s, 20 s and 24 s  |
      | all hosts                     | 14 s, 23 s and 32 s  |
      | half of the hosts             | 16 s                 |
      | the hosts of one data centre  | 16 s, 20 s and 24 s  |
      | the hosts of two data centres | 16 s, 20 s and 24 s  |
      | all hosts in turn             | 14 s                 |
      | all hosts in turn             | 14 s, 20 s and 26 s  |
      | the first host of each        | 14 s, 16 s and 18 s  |

  Scenario: Data centres that are cut off from each other share the budget
    Given 15 hosts in 3 data centres, and upstreams that fail
    When all data centres are cut off from 10 s to 60 s
    Then no window has more retries than all hosts together may send

  Scenario Outline: Hosts that don't know how many hosts share the budget
    Given 15 hosts in 3 data centres, and upstreams that fail
    When <who> cut off from <from> s to <to> s
    And <hosts> restart at <when>
    Then no window has more retries than all hosts together may send

    Examples:
      | who                   | from | to | hosts             | when        |
      | one data centre is    | 10   | 60 | no hosts          | 16 s        |
      | all data centres are  | 10   | 60 | no hosts          | 16 s        |
      | all data centres are  | 10   | 60 | all hosts         | 16 s        |
      | all data centres are  | 10   | 20 | all hosts         | 13 s        |
      | a third of all are    | 10   | 60 | no hosts          | 16 s        |
      | a third of all are    | 10   | 60 | all hosts         | 16 s        |
      | a third of all are    | 10   | 20 | all hosts         | 13 s        |

  Scenario Outline: Hosts are added, removed or moved
    Given 15 hosts in 3 data centres, and upstreams that fail
    When <change> at <when>
    Then no window has more retries than all hosts together may send

    Examples:
      | change                           | when |
      | a third as many hosts are added  | 16 s |
      | a third of the hosts are removed | 16 s |
      | a third of the hosts are moved   | 16 s |

  Scenario Outline: Upstreams read retries late for a while
    # Guards against retries that count from when they are taken: an upstream
    # gets them later, in a window in which their places are given away.
    Given 15 hosts in 3 data centres, and upstreams that fail
    When upstreams read retries <delay> s late from 12 s to <end> s
    And <hosts> restart at 20 s
    Then no window has more retries than all hosts together may send
    And the worst window has at least half of them

    Examples:
      | delay | end | hosts     |
      | 0.3   | 14  | no hosts  |
      | 1.5   | 14  | no hosts  |
      | 1.5   | 17  | no hosts  |
      | 1.5   | 17  | all hosts |
      | 4     | 14  | no hosts  |

  Scenario Outline: Hosts pause, and read what arrived meanwhile
    # Guards against requests that count from when they are read: those of a
    # pause earn retries beside those of a whole window after it.
    Given 15 hosts in 3 data centres, and upstreams that fail
    When <hosts> pause for <seconds> s at <when>
    Then no window has more retries than all hosts together may send
    And the worst window has at least half of them

    Examples:
      | hosts             | seconds | when                 |
      | all hosts         | 1.5     | 14 s, 18 s and 22 s  |
      | all hosts         | 4       | 12 s                 |
      | all hosts         | 4       | 14 s and 22 s        |
      | all hosts         | 8       | 14 s                 |
      | half of the hosts | 4       | 12 s                 |

  @fuzz
  Scenario: Random restarts, pauses, partitions, lost updates and late reads
    When hosts restart, pause, are cut off and lose updates at random
    Then no window of any history has more retries than may be sent
