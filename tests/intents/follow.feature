Feature: Batches of records that arrive late or out of order

  Background:
    Given a log of 30 records whose first 10 have lapsed, with a checkpoint at 15

  Scenario: A batch that starts beyond the next record is not folded
    # Guards against a host whose state no other host has: two threads share one
    # read position, and the answer to the later read arrives first. The batch
    # was accepted because its source still had the records before it.
    Given a process that has folded 20 records
    When a batch from 25 on comes
    Then it still stands at 20 and reads on from 21

  Scenario: In a gap, a batch from a later offset does not hide the checkpoint
    # Guards against a new host that stays empty though the log has a checkpoint:
    # it starts in a gap, the answer to a later read arrives first, and reading
    # continues after that batch, past the checkpoint.
    Given a process that has folded 0 records
    When a batch from 25 on comes
    Then it still stands at 0 and reads on from 11
    When it reads on to the head
    Then it stands at 30

  Scenario: A stale peer's state is not adopted
    Given a process that has folded 20 records
    When a peer offers its state at 12
    Then it still stands at 20 and reads on from 21
