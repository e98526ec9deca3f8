Feature: One host of a data centre gives orders

  Scenario: The lease counts from before it was asked for
    # Guards against two holders when the answer to a join takes two seconds:
    # the store measures the lease from the join's arrival.
    Given a lease that was asked for at 10.0 s and dealt to this host
    Then orders may be given until 12.3 s and not at 12.31 s

  Scenario: The duty is granted to another host
    Given a lease that was asked for at 10.0 s and dealt to this host
    When the next answer says that another host has it
    Then orders may not be given at 10.5 s

  Scenario Outline: Which host is deputy while the store is unreachable
    # Guards against a data centre that lacks layers until the store returns:
    # the store becomes unreachable, an engine dies, and no host may give orders.
    # The first host may, unless a host of its data centre reaches the store.
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

  Scenario: A store that becomes unreachable
    Given a member whose store answers once and never again
    Then it gives no orders before 3.2 s have passed
    And it stands in afterwards
    When the store answers that another host has the duty
    Then it stands in no more

  Scenario: Hosts with lower addresses
    # Guards against calls to the store that grow with the hosts, each of which
    # asks for the duty once a second. Only the first few of a data centre ask.
    Given a member that holds the duty
    When it hears of three hosts that come before it
    Then it gives the duty up and asks no more

  Scenario: A host that is first again while the store is unreachable
    # Guards against two hosts that give orders: a host that has not asked for
    # long becomes first again, and its last answer from the store is a minute
    # old. That counted as an unreachable store, and it became deputy at once.
    Given a member that holds the duty
    When it hears of three hosts that come before it
    Then it gives the duty up and asks no more
    When it comes first again, and the store does not answer
    Then it gives no orders before 3.2 s have passed
    And it stands in afterwards

  Scenario: The store is restored from an older copy
    # Guards against two hosts that give orders: the duty passed to another host
    # after the copy was made, so the restored store grants it to the former
    # holder. Neither knows of the other; the later one continues until it next
    # joins.
    Given a member that holds the duty
    When it has seen that the store came back from a copy
    Then it gives no orders until it has joined again
    And one that did not hold it waits for 3 s after the store deals it the duty
