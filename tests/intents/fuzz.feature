@fuzz
Feature: All control daemons fold the same state

  Scenario: Control daemons hold equal states in random histories
    # Guards against hosts that disagree, changes that are reverted and
    # conflicting plans that are both confirmed, with racing operators, repeated
    # appends, stale peers, late reads, partial checkpoints, expired records,
    # restarts and outages.
    When the intents machine runs 120 histories of 50 steps
    Then the oracle found nothing
