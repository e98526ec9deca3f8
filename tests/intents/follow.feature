Feature: Reading on, whatever batch comes

  Background:
    Given a log of 30 records whose first 10 have lapsed, with a checkpoint at 15

  Scenario: A batch that begins too far on is not folded
    # Symptom: a host holds a state that no other has. Sequence: two threads
    # move one reading place; the answer to a read further on comes first.
    # Cause: judging a batch by the oldest record its source has.
    Given a process that has folded 20 records
    When a batch from 25 on comes
    Then it still stands at 20 and reads on from 21

  Scenario: In a gap, a batch from further on does not hide the checkpoint
    # Symptom: a new host stays empty though the log has a checkpoint.
    # Sequence: it begins in a gap; the answer to a read further on comes.
    # Cause: going on behind that batch, past the checkpoint.
    Given a process that has folded 0 records
    When a batch from 25 on comes
    Then it still stands at 0 and reads on from 11
    When it reads on to the head
    Then it stands at 30

  Scenario: A stale peer's state is not taken
    Given a process that has folded 20 records
    When a peer offers its state at 12
    Then it still stands at 20 and reads on from 21
