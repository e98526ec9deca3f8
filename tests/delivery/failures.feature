Feature: Answers are complete and in order in spite of failing stages

  Background:
    Given a data centre with two chains of two engines in force

  Scenario: A stage dies during an answer
    # Guards against an answer that stops half-way: the first stage's process
    # ends, the last stage sends nothing more, and no new attempt resumes at
    # the last position.
    When a caller reads 10 tokens of 120 and the first stage is killed
    Then the answer is whole and in order
    And the answer was resumed without the killed stage

  Scenario Outline: The last stage shows fault "<fault>"
    # Guards against events accepted unchecked: lost, repeated, misrouted or
    # wrongly computed tokens. The fault is set on the last engine of one chain
    # before the request; each attempt over it ends and another chain resumes
    # the answer.
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
