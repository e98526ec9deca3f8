Feature: Concurrent operators and lost answers

  Background:
    Given two data centres with two entry hosts each

  Scenario: Two operators confirm plans that conflict
    # Guards against two operators who are both answered that their change is in
    # force: two control daemons make plans for the same hosts from one state,
    # both plans are confirmed at once, and the confirmation is not checked
    # against the keys that the plan read.
    When operators "ann" and "bo" make conflicting plans and confirm at once
    Then exactly one confirmation wins
    And the other is told which intent came first, with exit code 1

  Scenario: One operator confirms twice
    When an operator confirms one plan twice
    Then the second confirmation is refused with exit code 1
    And the plan comes into force once

  Scenario: A plan made from a state that has changed
    When a plan is made, then another one takes its hosts, then it is confirmed
    Then the confirmation is refused with exit code 1
    And "history" shows the conflict

  Scenario: The answers to appends are lost
    # Guards against a confirmation that is applied twice, or reported as failed
    # though it took effect: the log appends the record and its answer is lost.
    # Ids detect the repeat, and the read-back shows the outcome.
    When the log loses the answers to 3 appends
    And an operator puts an intent in force
    Then the history shows it asked, planned, confirmed and in force once each

  Scenario: The log is down
    When the log is down
    And an operator creates an intent
    Then the command says "outcome unknown" with an id and exit code 3
    When the log is back
    Then the outcome of that id can be looked up

  Scenario: A plan lists the requirements that can't be met
    When an operator asks for a version that the weight store doesn't have
    Then the plan says what is not met and nothing can be confirmed

  Scenario: A plan is withdrawn while it loads
    # Guards against layers that stay loaded when a confirmed plan is withdrawn
    # before its loads are done.
    When a slow plan is confirmed and withdrawn
    Then no engine keeps layers of it
    And "history" shows who withdrew it
