Feature: Due orders

  Scenario Outline: Reported holdings are compared with wanted ones
    # Guards against lost, duplicated or late orders that are never corrected,
    # as happens if orders are sent on events instead of by comparison.
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

  Scenario: A limit on parallel loads, highest priority first
    # Guards against an urgent plan delayed by the loads of many others: all
    # parallel loads share the rate of the weight store.
    Given 5 engines that need a load, of priorities 1 to 5
    When 2 may load at once and 1 more is loading
    Then only the engine of priority 5 is ordered
