Feature: Which orders are due

  Scenario Outline: Holdings are compared with what is wanted
    # Symptom: lost, doubled or late orders stay as they are. Cause: orders
    # sent on events instead of by comparison.
    Given an engine that holds "<holds>" and loads "<loads>"
    When "<wanted>" is wanted, <age> s after it stopped wanting the rest
    Then the order due is "<order>"

    Examples:
      | holds | loads | wanted | age | order |
      |       |       | a      | 0   | a     |
      | a     |       | a      | 0   | none  |
      |       | a     | a      | 0   | none  |
      | a     |       | b      | 0   | a b   |
      | a b   |       | b      | 1   | none  |
      | a b   |       | b      | 9   | b     |
      | a     |       |        | 9   | empty |

  Scenario: Few loads at a time, the urgent ones first
    # Symptom: an urgent plan waits behind many others' loads. Cause: all
    # loads share the weight store's rate at once.
    Given 5 engines that need a load, of priorities 1 to 5
    When 2 may load at once and 1 more is loading
    Then only the engine of priority 5 is ordered
