Feature: Records lapse, the configuration does not

  Scenario: A new process reads a checkpoint after the records lapsed
    # Symptom: after a quiet day a new host finds an empty log. Cause: no
    # checkpoint before the retention ends.
    Given two hosts before a log that keeps records for 4 s
    And an intent in force in "kl-hall"
    When 8 s pass
    And every control daemon is killed and one starts anew
    Then it holds the intent

  Scenario: An outage longer than the retention
    # Symptom: the configuration is lost with its last checkpoint. Sequence:
    # the log is out until everything in it has lapsed. Cause: nobody writes
    # the last copy back.
    Given two hosts before a log that keeps records for 4 s
    And an intent in force in "kl-hall"
    When the log is out for 6 s
    And every control daemon but one is killed once a checkpoint is back
    And every control daemon is killed and one starts anew
    Then it holds the intent
