Feature: An answer is whole and in order whatever its stages do

  Background:
    Given a data centre with two chains of two engines in force

  Scenario: A stage dies in the middle of an answer
    # Symptom: the caller's answer stops half-way.
    # Sequence: tokens flow, the first stage's process ends, the last stage
    # has nothing more to say. Cause: without a new attempt from the last
    # position the rest never comes.
    When a caller reads 10 tokens of 120 and the first stage is killed
    Then the answer is whole and in order
    And the answer went on without the killed stage

  Scenario Outline: The last stage shows fault "<fault>"
    # Symptom: lost, doubled, foreign or wrongly computed tokens.
    # Sequence: the fault is set on all engines of one chain's end before the
    # request; each attempt over it ends and another goes on elsewhere.
    # Cause: events taken on trust.
    When the last stage of one chain has fault "<fault>" set to <value>
    And 4 callers ask for 40 tokens each
    Then every answer is whole and in order

    Examples:
      | fault        | value |
      | hang         | true  |
      | silent       | true  |
      | repeat       | true  |
      | cross        | true  |
      | gap          | 7     |
      | truncate     | 7     |
      | wrong_layers | true  |
