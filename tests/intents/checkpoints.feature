Feature: The configuration outlives expired records

  Scenario: A new process reads a checkpoint after the records expired
    # Guards against a new host that finds an empty log after a day without
    # changes, because no checkpoint was written within the retention period.
    Given two hosts before a log that keeps records for 4 s
    And an intent in force in "kl-hall"
    When 8 s pass
    And every control daemon is killed and one starts anew
    Then it holds the intent

  Scenario: An outage longer than the retention
    # Guards against loss of the configuration: the log is unavailable until all
    # its records have expired, and no process writes its state back.
    Given two hosts before a log that keeps records for 4 s
    And an intent in force in "kl-hall"
    When the log is out for 6 s
    And every control daemon but one is killed once a checkpoint is back
    And every control daemon is killed and one starts anew
    Then it holds the intent

  Scenario: A peer that started from a checkpoint provides its state
    # Guards against a host that starts during an outage of the log and stays
    # empty. Its peer started from a checkpoint, so it has the state but not the
    # old records; the host must request a snapshot and not only records.
    Given two hosts before a log that keeps records for 4 s
    And an intent in force in "kl-hall"
    When 8 s pass
    And control daemon "kl-2" is replaced and holds the intent
    And the log is down
    And control daemon "kl-1" is replaced and holds the intent
    Then it holds the intent
