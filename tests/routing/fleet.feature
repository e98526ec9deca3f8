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

  Scenario: Layers are told until the store counts as away
    # Symptom: a host that starts just after the store went away finds no path
    # for some seconds. Sequence: an engine reports an order done, the store
    # goes away before the list shows it, the new host is handed that list.
    # Cause: reports were told for 2 s, and the store counts as away after 3.
    Given a host whose list has engine "a100-0" without layers
    When the engine reports that it holds "0-25"
    Then for 5.5 s it tells the others "a100-0 0-25" and has it itself

  Scenario: A report is told no more once the list says something new
    Given a host whose list has engine "a100-0" without layers
    When the engine reports that it holds "0-25"
    And a change of its list shows that it holds "25-50"
    Then within 2 s it tells the others "nothing"

  Scenario: A host gives way to what an engine reported later to another one
    # Symptom: two hosts tell different layers of one engine for seconds, and
    # all others send requests to either by turns. Sequence: the duty passes on
    # after an order, and its new holder gives another one.
    Given a host whose list has engine "a100-0" without layers
    And another host with the same list
    When the engine reports that it holds "0-25"
    And 1 s later the engine reports to the other host "25-50"
    And 0.2 s later the two tell each other
    Then both have "25-50" and only the other host tells it

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
