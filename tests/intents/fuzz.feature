@fuzz
Feature: One history, however it is read

  Scenario: Control daemons hold the same history in seeded histories
    # Symptom: two hosts disagree, a change comes undone, two plans both win.
    # Sequence: racing operators, repeated appends, stale peers, reads from
    # behind, partial checkpoints, lapsed records, restarts, outages.
    # Cause: whichever guard of the fold or of following is missing.
    When the intents machine runs 120 histories of 50 steps
    Then the oracle found nothing
