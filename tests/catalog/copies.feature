Feature: The store comes back from an older copy

  Scenario Outline: A follower of the list across copies
    # Symptom: a host keeps upstreams that no longer exist, and never sees
    # others. Sequence: it has read up to an offset, the store loses the last
    # records, and others are written at the same offsets. Cause: offsets that
    # are compared without the era.
    Given hosts that have read "<known>"
    When the store loses the last <lost> records, and "<written>" are written
    And all of them read
    Then all have "<now>"
    And after another heartbeat of "<living>" and 8.5 s all have "<living>"

    Examples: as long again, longer, the same keys, shorter, two in a row
      | known | lost | written  | now    | living |
      | a b c | 2    | d e      | a b c  | a d e  |
      | a b c | 2    | d e b    | a b c  | a b d e |
      | a b c | 1    | c        | a b c  | a b c  |
      | a b c | 2    | b        | a b c  | a b    |
      | a b c | 3    | -        | a b c  | a b c  |

  Scenario: A removal is lost
    # Symptom: an upstream that is gone is given work again.
    Given hosts that have read "a b c"
    And "c" is removed, and all have read that
    When the store loses the last 1 records, and "-" are written
    And all of them read
    Then all have "a b"

  Scenario: The word that an upstream leaves is lost
    # Symptom: an upstream that leaves is given work beyond its time, by hosts
    # that took the list from others after the copy.
    Given hosts that have read "a b c"
    And "c" says that it leaves, and all have read that
    When the store loses the last 1 records, and "-" are written
    And all of them read
    And another host starts and takes what they have
    Then all have "a b"

  Scenario: Two copies in a row, and a host that was frozen
    Given hosts that have read "a b c"
    And "c" is removed, and all but the last have read that
    When the store loses the last 1 records, and "d" are written
    And the store loses the last 2 records, and "d e" are written
    And all of them read
    Then all but the last have "a b"
    And after another heartbeat of "a b d e" and 8.5 s all have "a b d e"

  Scenario: A host that the store turns away
    # Symptom: it goes on with what its neighbours no longer have. Sequence: a
    # neighbour has read the copy; this host has read more than the copy holds.
    Given hosts that have read "a b c"
    When the store loses the last 2 records, and "d" are written
    And all but the last read
    And the last takes what the first has
    Then all have "a b c"
    And the last one's era is the store's
    And it refuses what a host hands it that has not read the copy

  Scenario: An answer that was under way for long
    # Symptom: a host goes back to what the store had before its copy.
    Given a client of a store in its second era
    When an answer of the first era comes
    Then it counts as no answer, and one of the third era is taken

  Scenario Outline: The configuration across a copy
    # Symptom: a key that was taken away is let in again. Sequence: the copy is
    # from before the change; a host that starts meanwhile asks its neighbours.
    Given hosts that have read configuration 7 and then 9
    When the store loses the last 1 records, and configuration <written> comes
    Then all have configuration <now>, and so has a host that starts

    Examples:
      | written | now |
      | none    | 9   |
      | 8       | 9   |
      | 9       | 9   |
      | 11      | 11  |

  Scenario: An operator writes again, one version after the other
    # Symptom: a host that starts after a copy lets in a key that was taken
    # away. Sequence: the copy was read, then the operator's older versions come
    # once more; hosts in force at the newest hand the older ones to new hosts.
    Given hosts that have read configuration 7 and then 9
    When the store loses the last 2 records, and configuration none comes
    And configurations 7 and 8 come and are read in turn
    Then all have configuration 9, and so has a host that starts
    And one that has read the store itself before it asks them

  Scenario: Requests in quarantine are written again, once
    # Symptom: all hosts are killed after a copy, and a request that ends
    # engines is sent again. Sequence: the copy lacks its record.
    Given three savers of hosts, the first one of which wrote "f1" of late
    And all know "f1" and "f2" from the store
    When the store comes back without both
    Then the first writes "f1" at once
    And one of them has "f2" written within 3 s
    And what is seen written meanwhile is written by nobody else
