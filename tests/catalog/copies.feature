Feature: The store is restored from an older copy

  Scenario Outline: Hosts follow the list across restores
    # Guards against hosts that keep removed upstreams and never see new ones: a
    # host has read up to an offset, the store loses the last records, and
    # others are written at the same offsets. Offsets compared without the era
    # cause this.
    Given hosts that have read "<known>"
    When the store loses the last <lost> records, and "<written>" are written
    And all of them read
    Then all have "<now>"
    And after another heartbeat of "<living>" and 8.5 s all have "<living>"

    Examples: same length, longer, same keys, shorter, nothing written
      | known | lost | written  | now    | living |
      | a b c | 2    | d e      | a b c  | a d e  |
      | a b c | 2    | d e b    | a b c  | a b d e |
      | a b c | 1    | c        | a b c  | a b c  |
      | a b c | 2    | b        | a b c  | a b    |
      | a b c | 3    | -        | a b c  | a b c  |

  Scenario: A removal is lost
    # Guards against requests to an upstream that was removed.
    Given hosts that have read "a b c"
    And "c" is removed, and all have read that
    When the store loses the last 1 records, and "-" are written
    And all of them read
    Then all have "a b"

  Scenario: An upstream has left before the store's return
    # Guards against requests to an upstream whose entry nobody writes again,
    # from a host that stood still meanwhile.
    Given hosts that have read "a b c"
    When the store loses the last 1 records, and "-" are written
    And all of them read
    Then all have "a b c"
    And 2.6 s later all have "a b"

  Scenario: The draining state of an upstream is lost
    # Guards against late requests to a draining upstream, from hosts that
    # received the list from others after the restore.
    Given hosts that have read "a b c"
    And "c" says that it leaves, and all have read that
    When the store loses the last 1 records, and "-" are written
    And all of them read
    And another host starts and takes what they have
    Then all have "a b"

  Scenario: Two restores in a row, and a host that was frozen
    Given hosts that have read "a b c"
    And "c" is removed, and all but the last have read that
    When the store loses the last 1 records, and "d" are written
    And the store loses the last 2 records, and "d e" are written
    And all of them read
    Then all but the last have "a b"
    And after another heartbeat of "a b d e" and 8.5 s all have "a b d e"

  Scenario: A host that the store refuses
    # Guards against a host that keeps state which other hosts no longer have:
    # another host has read the restored store, and this one has read more than
    # that contains.
    Given hosts that have read "a b c"
    When the store loses the last 2 records, and "d" are written
    And all but the last read
    And the last takes what the first has
    Then all have "a b c"
    And the last one's era is the store's
    And it refuses what a host hands it that has not read the copy

  Scenario: A delayed answer
    # Guards against a host that returns to the store's state from before the
    # restore.
    Given a client of a store in its second era
    When an answer of the first era comes
    Then it counts as no answer, and one of the third era is taken

  Scenario Outline: The configuration across a restore
    # Guards against a revoked API key that is accepted again: the copy is from
    # before the change, and a host that starts meanwhile calls other hosts.
    Given hosts that have read configuration 7 and then 9
    When the store loses the last 1 records, and configuration <written> comes
    Then all have configuration <now>, and so has a host that starts

    Examples:
      | written | now |
      | none    | 9   |
      | 8       | 9   |
      | 9       | 9   |
      | 11      | 11  |

  Scenario: An operator rewrites one version after the other
    # Guards against a host that starts after a restore and accepts a revoked
    # API key: the restored store was read, then the operator's older versions
    # are written again, and hosts that have the newest one in force send the
    # older ones to new hosts.
    Given hosts that have read configuration 7 and then 9
    When the store loses the last 2 records, and configuration none comes
    And configurations 7 and 8 come and are read in turn
    Then all have configuration 9, and so has a host that starts
    And one that has read the store itself before it asks them

  Scenario: Quarantined requests are rewritten once
    # Guards against a request that crashes engines and is sent again: the copy
    # lacks its record, and all hosts are killed after the restore.
    Given three quarantine writers, the first of which recently wrote "f1"
    And all know "f1" and "f2" from the store
    When the store comes back without both
    Then the first writes "f1" at once
    And one of them has "f2" written within 3 s
    And what is seen written meanwhile is written by nobody else

  Scenario: A removal right after a restore, and a snapshot of another host
    # Guards against an upstream that has left and that one host lists for good:
    # that host read the store before the other one, which gave it a snapshot.
    Given three hosts with the list of three upstreams
    When the store loses its last record, and then an upstream leaves
    And the first host reads, all read 5 s later, and the second one gives the first a snapshot
    Then all hosts list the upstreams that are alive, once these have written again

  Scenario: An upstream that started again leaves some seconds after a restore
    # Guards against the same where no host reads twice before the snapshot.
    Given three hosts that know one upstream as draining and one as started again
    When the store loses both records, all read 5 s later, and the second one leaves
    Then all hosts list the upstreams that are alive, once these have written again
