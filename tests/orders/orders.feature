Feature: Orders from one holder, put right by whoever comes next

  Scenario: A holder paused past its lease
    # Symptom: an engine flaps between two wishes. Sequence: the holder is
    # paused, another takes over, the first wakes up. Cause: a lease checked
    # too early.
    Given one data centre with two control daemons
    And an intent in force in "kl-hall"
    When the holder of the lease is paused
    Then the other takes the lease within 10 s
    When the first holder wakes up
    Then it sends no order for 3 s

  Scenario: A late order of an old holder
    # Symptom: an engine loses its layers to an order from the past. Sequence:
    # an order with an old number arrives late. Cause: engines that ignore the
    # number, and nobody who looks again.
    Given one data centre with two control daemons
    And an intent in force in "kl-hall"
    When an order with an old number empties engines "r1-a" and "r2-a"
    Then "r1-a", which checks numbers, refuses it
    And "r2-a", which does not, holds its layers again within 5 s

  Scenario: The holder dies while a plan loads
    # Symptom: a plan stays half done over a shift change.
    Given one data centre with two control daemons
    When a slow plan is confirmed and the holder of the lease is killed
    Then the plan comes into force all the same

  Scenario: An order's answer is lost
    Given one data centre with two control daemons
    When engines lose the answers to their next 2 orders
    And an intent is put in force in "kl-hall"
    Then every engine's holdings are those of the plan

  Scenario: A dead engine's layers go to a spare
    # What may be repaired under a confirmed intent without asking: the same
    # layers on a free engine of the same data centre.
    Given one data centre with two control daemons
    And an intent in force in "kl-hall" on one chain with a spare
    When an engine of the chain is killed
    Then the spare takes its layers within 15 s
    And callers are served over the spare
    And "history" shows the repair

  Scenario: Urgent loads come first at the weight store
    Given one data centre with two control daemons
    When two slow plans of priority 1 and 9 are confirmed together
    Then the plan of priority 9 is in force first
