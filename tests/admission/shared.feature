Feature: The retry budget that all hosts share

  Scenario: A few hosts need what the others leave
    # Symptom: seven engines of two hundred die, and a tenth of the answers
    # that ran over them are given up, though nine tenths of the budget are
    # left. Cause: each host had an even part of it, four or five repeats.
    Given 195 hosts in 5 data centres that had 14 requests each in 10 s
    When 8 of them need 40 repeats each within 3 s
    Then each of the 8 gets 20 or more
    And all hosts together keep to the budget

  Scenario: All need repeats in the same moment
    Given 195 hosts in 5 data centres that had 14 requests each in 10 s
    When all of them need 40 repeats each within 3 s
    Then each of all gets 4 or more at once
    And all hosts together keep to the budget

  Scenario: A data centre is lost, and its requests come to the others
    Given 195 hosts in 5 data centres that had 14 requests each in 10 s
    When the 39 of one data centre need 40 repeats each within 3 s
    Then each of the 39 gets 8 or more
    And all hosts together keep to the budget

  Scenario: A host that hears nobody
    # It may have its own part and no more: the others are alive, perhaps.
    Given 195 hosts in 5 data centres that had 14 requests each in 10 s
    And one of them has not been heard and heard nobody for 2 s
    When the lone host needs 40 repeats within 3 s
    Then it gets 4 repeats

  Scenario: A speaker that changes
    # Symptom: for two seconds a data centre looks as if it had twice as many
    # requests in flight, and work goes elsewhere. Cause: what the former
    # speaker said was counted beside the newer one's word of the same requests.
    Given a host that heard 10 requests of another data centre from its speaker
    When another speaker tells of the same 10
    Then it counts 10 requests there

  @fuzz
  Scenario: Any hosts, any failures, any news that is lost
    When hosts ask for repeats as chance has it, hear late or not, and are cut off
    Then none of the histories spends more than the budget
