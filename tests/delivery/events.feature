Feature: Joining the events of several attempts into one answer

  Scenario Outline: Only complete events are forwarded, in order and once
    # Guards against repeated, partial and missing events.
    When the bytes "<bytes>" come
    Then "<passed>" is forwarded and the rest is "<rest>"

    Examples: an event is written as its id, | is its end
      | bytes         | passed | rest  |
      | 1\| 2\| 3\|   | 1 2 3  |       |
      | 1\| 2         | 1      | 2     |
      | 1\| 1\| 2\|   | 1 2    |       |
      | 1\| 3\|       | 1, gap |       |
      | 3\| 1\| 5\| 6\| | 3, gap | 6 |
      | 5\| 6\|       | 5 6    |       |

  Scenario: An attempt resumes where another was interrupted
    When the bytes "1| 2| 3" come
    And another attempt begins
    And the bytes "2| 3| 4|" come
    Then "1 2 3 4" is forwarded and the rest is ""

  Scenario: Bytes arrive one by one
    When the bytes "1| 2| 3|" come one by one
    Then "1 2 3" is forwarded and the rest is ""

  @fuzz
  Scenario: Random interruptions and repeated events
    When answers are interrupted and resumed at random
    Then each event is forwarded once, complete and in order
