Feature: Racing operators and lost answers

  Background:
    Given two data centres with two entry hosts each

  Scenario: Two operators confirm plans that conflict
    # Symptom: two shifts both believe their change is in force. Sequence: two
    # plans are made from one state, on the same hosts, at two control daemons;
    # both are confirmed at once. Cause: a confirmation that is not checked
    # against what the plan read.
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
    # Symptom: a confirmation is counted twice or reported as failed though it
    # holds. Sequence: the log takes the record, its answer is lost. Cause: no
    # id, or no read-back.
    When the log loses the answers to 3 appends
    And an operator puts an intent in force
    Then the history shows it asked, planned, confirmed and in force once each

  Scenario: The log is down
    When the log is down
    And an operator creates an intent
    Then the command says "outcome unknown" with an id and exit code 3
    When the log is back
    Then the outcome of that id can be looked up

  Scenario: A plan that can't be met says so
    When an operator asks for a version that the weight store doesn't have
    Then the plan says what is not met and nothing can be confirmed

  Scenario: A plan is withdrawn while it loads
    # Symptom: the next shift inherits half a change. Sequence: a plan is
    # confirmed and withdrawn before its loads are done. Cause: loads nobody
    # undoes.
    When a slow plan is confirmed and withdrawn
    Then no engine keeps layers of it
    And "history" shows who withdrew it
