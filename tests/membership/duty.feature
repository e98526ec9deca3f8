Feature: One host of a data centre gives orders

  Scenario: The lease counts from before it was asked for
    # Symptom: two holders. Sequence: the answer to a join is under way for
    # two seconds; the store counts from the join's arrival.
    Given a lease that was asked for at 10.0 s and dealt to this host
    Then orders may be given until 12.3 s and not at 12.31 s

  Scenario: The duty is dealt to another host
    Given a lease that was asked for at 10.0 s and dealt to this host
    When the next answer says that another host has it
    Then orders may not be given at 10.5 s

  Scenario Outline: Who stands in while the store is away
    # Symptom: a data centre stays without some layers for as long as the
    # store is away. Sequence: the store goes, an engine dies. Cause: nobody
    # may give orders. Only a host that no neighbour with a store hears may.
    Given host "10.1.0.20" in "kl-hall", cut off from the store
    And it heard of host "<peer>" in "<data centre>" <age> s ago, whose store answered <store> s ago
    Then it <verdict> stand in

    Examples:
      | peer      | data centre | age | store | verdict  |
      | 10.1.0.30 | kl-hall     | 0.3 | 9     | may      |
      | 10.1.0.9  | kl-hall     | 0.3 | 9     | must not |
      | 10.1.0.9  | kl-hall     | 5.0 | 9     | may      |
      | 10.1.0.30 | kl-hall     | 0.3 | 0.2   | must not |
      | 10.2.0.9  | pg-hall     | 0.3 | 9     | may      |
      | 10.2.0.9  | pg-hall     | 0.3 | 0.2   | may      |

  Scenario: A store that goes away
    Given a member whose store answers once and never again
    Then it gives no orders before 3.2 s have passed
    And it stands in afterwards
    When the store answers that another host has the duty
    Then it stands in no more

  Scenario: Hosts that come before
    # Symptom: calls to the store grow with the hosts, each of which asks for
    # the duty once a second. Only the first few of a data centre need to.
    Given a member that holds the duty
    When it hears of three hosts that come before it
    Then it gives the duty up and asks no more

  Scenario: A host that comes first again while the store is away
    # Symptom: two give orders. Sequence: a host has not asked for long; it
    # comes first again, and what it last heard of the store is a minute old.
    # Cause: that counted as a store that is away, and it stood in at once.
    Given a member that holds the duty
    When it hears of three hosts that come before it
    Then it gives the duty up and asks no more
    When it comes first again, and the store does not answer
    Then it gives no orders before 3.2 s have passed
    And it stands in afterwards

  Scenario: The store comes back from an older copy
    # Symptom: two give orders. Sequence: the duty passed on after the copy was
    # made, so that the store deals it to the former holder. Cause: neither
    # knows of the other; the later one goes on until it next joins.
    Given a member that holds the duty
    When it has seen that the store came back from a copy
    Then it gives no orders until it has joined again
    And one that did not hold it waits for 3 s after the store deals it the duty
