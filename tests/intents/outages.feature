Feature: Outages, cut-off data centres, restarts

  Background:
    Given two data centres with two entry hosts each
    And an intent in force in both

  Scenario: A confirmed change is in force everywhere within 5 s
    When an operator confirms a further intent
    Then it is in force in every router within 5 s

  Scenario: The log is out for a while
    # Symptom: serving stops with the platform. Cause: a request path that
    # needs the log.
    When the log is down
    Then callers in both data centres are served
    And "status" warns that the data centres are cut off
    When the log is back
    And an operator confirms a further intent
    Then it is in force in every router within 5 s

  Scenario: A control daemon starts during an outage
    # Symptom: a replaced host has no configuration until the log is back.
    # Cause: the log as the only source.
    When the log is down
    And control daemon "kl-2" and its router are replaced
    Then the replaced router serves callers

  Scenario: A router outlives its control daemon and nothing reverts
    # Symptom: a change comes undone when a daemon restarts. Sequence: the
    # daemon is replaced while the log is down and its peers are gone. Cause: a
    # router that takes a table older than its own.
    When the log is down
    And all control daemons are killed
    Then callers in both data centres are served

  Scenario: One data centre is cut off from the platform and the other
    # Symptom: a cut-off data centre reverts or floods on rejoining.
    When data centre "pg-hall" is cut off from the log
    And an operator confirms a further intent for "kl-hall"
    Then callers in both data centres are served
    When data centre "pg-hall" is joined again
    Then all hosts reach the same offset and digest within 10 s
