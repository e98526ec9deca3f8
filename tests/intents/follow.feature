Feature: Batches of records that arrive late or out of order

  Background:
    Given a log of 30 records whose first 10 have expired, with a checkpoint at 15

  Scenario: A batch that starts beyond the next record is not folded
    # Guards against a host whose state no other host has: two threads share one
    # read position, and the answer to the later read arrives first. The batch
    # was accepted because its source still had the records before it.
    Given a process that has folded 20 records
    When a batch that starts at offset 25 arrives
    Then its offset is still 20 and it reads from 21 next

  Scenario: In a gap, a batch from a later offset does not hide the checkpoint
    # Guards against a new host that stays empty though the log has a checkpoint:
    # it starts in a gap, the answer to a later read arrives first, and reading
    # continues after that batch, past the checkpoint.
    Given a process that has folded 0 records
    When a batch that starts at offset 25 arrives
    Then its offset is still 0 and it reads from 11 next
    When it reads to the head
    Then its offset is 30 and its state equals the log's

  Scenario: A stale peer's state is not adopted
    Given a process that has folded 20 records
    When a peer offers its state at offset 12
    Then its offset is still 20 and it reads from 21 next
