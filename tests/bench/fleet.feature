Feature: The model of engines that compares policies

  Scenario: A single request waits for nothing
    # The first event comes after each stage has read the prompt and run one
    # step; nothing is queued.
    Given a chain of two engines of the model
    When one request of 1050 tokens runs alone
    Then its first event comes after the time its reading and steps take
    And its later events come after one pass of each stage

  Scenario: The newest requests are preempted when memory runs out
    Given a chain of two engines of the model
    When more requests run than their request memory holds
    Then the newest are put back and all end

  Scenario: The same seed gives the same outcome
    When a day is played twice with seed 5 and once with seed 6
    Then the first two outcomes are the same and the third differs

  Scenario Outline: Load and lost engines lower the earned share
    When a day is played at <load> times the usual load with <losses> engines lost
    Then between <low> and <high> of what is owed is earned

    Examples:
      | load | losses | low  | high |
      | 0.5  | 0      | 0.98 | 1.0  |
      | 0.5  | 2      | 0.80 | 0.99 |
      | 6.0  | 0      | 0.05 | 0.80 |
