Feature: Orders from one lease holder, corrected by its successor

  Scenario: A holder paused past its lease
    # Guards against an engine flapping between the orders of two holders: the
    # holder is paused, another takes over, and the first resumes and sends
    # under a lease that it checked too early.
    Given one data centre with two control daemons
    And an intent in force in "kl-hall"
    When the holder of the lease is paused
    Then the other takes the lease within 10 s
    When the first holder resumes
    Then it sends no order for 3 s

  Scenario: A late order of a former holder
    # Guards against an engine losing its layers to an outdated order: one with
    # an old fencing number arrives late at an engine that ignores the number,
    # and the holdings are not compared again.
    Given one data centre with two control daemons
    And an intent in force in "kl-hall"
    When an order with an old number empties engines "r1-a" and "r2-a"
    Then "r1-a", which checks numbers, refuses it
    And "r2-a", which does not, holds its layers again within 5 s

  Scenario: The holder dies while a plan loads
    # Guards against a plan that stays half loaded after a change of holder.
    Given one data centre with two control daemons
    When a slow plan is confirmed and the holder of the lease is killed
    Then the plan still comes into force

  Scenario: An order's answer is lost
    Given one data centre with two control daemons
    When engines lose the answers to their next 2 orders
    And an intent is put in force in "kl-hall"
    Then every engine's holdings are those of the plan

  Scenario: A dead engine's layers go to a spare
    # A confirmed intent permits this repair without a new confirmation: the
    # same layers on a free engine of the same data centre.
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
