Feature: Outages, partitioned data centres, restarts

  Background:
    Given two data centres with two entry hosts each
    And an intent in force in both

  Scenario: A confirmed change is in force everywhere within 5 s
    When an operator confirms a further intent
    Then it is in force in every router within 5 s

  Scenario: The log is unavailable for a while
    # Guards against request paths that need the log, so that an outage of the
    # platform stops serving.
    When the log is down
    Then callers in both data centres are served
    And "status" warns that the data centres are cut off
    When the log is back
    And an operator confirms a further intent
    Then it is in force in every router within 5 s

  Scenario: A control daemon starts during an outage
    # Guards against a replaced host that has no configuration until the log is
    # back, because it reads from the log only.
    When the log is down
    And control daemon "kl-2" and its router are replaced
    Then the replaced router serves callers

  Scenario: A router keeps serving without its control daemon
    # Guards against changes that are reverted when a daemon restarts: it is
    # replaced while the log is down and its peers are gone, and its router
    # accepts a table older than its own.
    When the log is down
    And all control daemons are killed
    Then callers in both data centres are served

  Scenario: One data centre is cut off from the platform and the other
    # Guards against a data centre that reverts changes or floods the others with
    # messages when it rejoins.
    When data centre "pg-hall" is cut off from the log
    And an operator confirms a further intent for "kl-hall"
    Then callers in both data centres are served
    When data centre "pg-hall" is joined again
    Then all hosts reach the same offset and digest within 10 s
