Feature: What a host knows of upstreams beyond their list

  Scenario Outline: Layers that an engine took are told to the other hosts
    # Symptom: for five seconds of a calm day half the hosts found no path.
    # Cause: the list showed an order done before its giver had asked the
    # engine; the giver then told nobody, and only it read the list that often.
    Given a host whose list has engine "a100-0" without layers
    When <source> that it holds "0-25"
    Then within 2 s it tells the others "a100-0 0-25"
    And 2.1 s later it tells them nothing

    Examples:
      | source                       |
      | its list read whole shows    |
      | a change of its list shows   |
      | the engine reports           |

  Scenario: A host that only hears of new layers has them in its paths
    Given a host whose list has engine "a100-0" without layers
    And another host with the same list
    When its list read whole shows that it holds "0-25"
    And it tells the other host
    Then the other host has "a100-0" with "0-25"

  Scenario: While the store is away layers are told until it is back
    Given a host whose list has engine "a100-0" without layers
    When the engine reports that it holds "0-25"
    Then 30 s later, without the store, it tells the others "a100-0 0-25"

  Scenario: What the list showed before the store went away is soon told no more
    # Symptom: two hosts tell different layers of one engine in turn. Sequence:
    # the list shows an order done, the store goes away, another host orders.
    Given a host whose list has engine "a100-0" without layers
    When its list read whole shows that it holds "0-25"
    Then 30 s later, without the store, it tells the others "nothing"

  Scenario: A host that hears of layers and reads the list rarely
    # Symptom: four seconds into a calm day half the hosts find no path.
    # Sequence: a host is told of layers, doesn't read the list, and the word
    # of their engine ends; the list it has is from before.
    Given a host whose list has engine "a100-0" without layers
    And another host with the same list
    When its list read whole shows that it holds "0-25"
    And it tells the other host
    Then the other host has "a100-0" with "0-25"
    And the other host's list counts as different until it is read anew

  Scenario Outline: Upstreams that come onto the list at once
    # Symptom: 195 hosts that start before 195 upstreams write 38,000 lines.
    Given a host that knows no upstream
    When it reads a list of <count> upstreams
    Then it logs <lines> lines "<event>"

    Examples:
      | count | lines | event             |
      | 8     | 8     | upstream_changed  |
      | 195   | 1     | upstreams_listed  |
