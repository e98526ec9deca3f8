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

  Scenario: The last copy comes from a peer that began with a checkpoint
    # Symptom: a host that starts in an outage stays empty although a peer has
    # the state. Sequence: the peer began with a checkpoint and so has no old
    # records to hand on; the log is out. Cause: asking peers for records only.
    Given two hosts before a log that keeps records for 4 s
    And an intent in force in "kl-hall"
    When 8 s pass
    And control daemon "kl-2" is replaced and holds the intent
    And the log is down
    And control daemon "kl-1" is replaced and holds the intent
    Then it holds the intent
