@fuzz
Feature: One giver of orders at a time

  Scenario: Holders of the lease never meet in seeded histories
    # Symptom: two daemons order an engine at once and it flaps.
    # Sequence: pauses past the lease, lost and late appends, restarts, reads
    # that lag, clocks that differ. Cause: a lease counted from the wrong
    # moment, or checked too early.
    When the lease machine runs 300 histories of 60 steps
    Then the oracle found nothing
