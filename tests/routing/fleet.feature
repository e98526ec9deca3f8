Feature: A host's view of upstreams beyond the upstream list

  Scenario Outline: New layers of an engine are sent to the other hosts
    # Guards against five seconds in which half the hosts find no path. The
    # list showed a completed order before the duty holder had probed the
    # engine; it then sent nothing, and only it reads the list that often.
    Given a host whose list has engine "a100-0" without layers
    When <source> that it holds "0-25"
    Then within 2 s it sends the others "a100-0 0-25"
    And 2.1 s later it sends them nothing

    Examples:
      | source                       |
      | its list read whole shows    |
      | a change of its list shows   |
      | the engine reports           |

  Scenario: A host uses new layers from a peer update
    Given a host whose list has engine "a100-0" without layers
    And another host with the same list
    When its list read whole shows that it holds "0-25"
    And it sends its layers to the other host
    Then the other host has "a100-0" with "0-25"

  Scenario: Reported layers are sent for as long as the store is unreachable
    Given a host whose list has engine "a100-0" without layers
    When the engine reports that it holds "0-25"
    Then 30 s later, without the store, it sends the others "a100-0 0-25"

  Scenario: Reported layers are sent until the store counts as unreachable
    # Guards against a host that starts during a store outage and finds no path
    # for some seconds. An engine reports a completed order, and the store fails
    # before the list shows it; the new host gets the old list. Reports were
    # sent for 2 s, but the store counts as unreachable only after 3.
    Given a host whose list has engine "a100-0" without layers
    When the engine reports that it holds "0-25"
    Then for 5.5 s it sends the others "a100-0 0-25" and uses it itself

  Scenario: A report is no longer sent once the list changes
    Given a host whose list has engine "a100-0" without layers
    When the engine reports that it holds "0-25"
    And a change of its list shows that it holds "25-50"
    Then within 2 s it sends the others "nothing"

  Scenario: A later report to another host replaces an earlier one
    # Guards against two hosts that send different layers of one engine for
    # seconds, so that all others switch between them. After an order the duty
    # passes to another host, which gives another order.
    Given a host whose list has engine "a100-0" without layers
    And another host with the same list
    When the engine reports that it holds "0-25"
    And 1 s later the engine reports to the other host "25-50"
    And 0.2 s later the two exchange peer updates
    Then both have "25-50" and only the other host sends it

  Scenario: Listed layers are sent only briefly while the store is unreachable
    # Guards against two hosts that send different layers of one engine: the
    # list shows a completed order, the store fails, another host gives orders.
    Given a host whose list has engine "a100-0" without layers
    When its list read whole shows that it holds "0-25"
    Then 30 s later, without the store, it sends the others "nothing"

  Scenario: A host that gets layers from a peer update and rarely reads the list
    # Guards against half the hosts finding no path four seconds after layers
    # changed: a host got the layers by a peer update, which expired before the
    # host read the list again, and its list still had the old layers.
    Given a host whose list has engine "a100-0" without layers
    And another host with the same list
    When its list read whole shows that it holds "0-25"
    And it sends its layers to the other host
    Then the other host has "a100-0" with "0-25"
    And the other host's list counts as different until it is read anew

  Scenario Outline: Many upstreams are listed at once
    # Guards against 38,000 log lines when 195 hosts start before 195 upstreams.
    Given a host that knows no upstream
    When it reads a list of <count> upstreams
    Then it logs <lines> lines "<event>"

    Examples:
      | count | lines | event             |
      | 8     | 8     | upstream_changed  |
      | 195   | 1     | upstreams_listed  |

  Scenario: A host repeats the same requests in flight and stops
    # Guards against requests of a lost host that count for ever: usage that did
    # not change is not summed again.
    Given a host whose list has engine "a100-0" without layers
    When another host sends the same 3 requests in flight every 0.25 s for 3 s
    Then 3 requests count for 2 s and none after

  Scenario: Searches follow the layers of the list
    # Guards against memory of earlier layers in a search, by which requests
    # overflow an engine: what only the list changes is cached.
    Given a host whose list has engine "a100-0" without layers
    Then a path search is not offered it
    When its list read whole shows that it holds "0-25"
    Then a path search is offered its layers "0-25" with the memory left
    When a change of its list shows that it holds "0-50"
    Then a path search is offered its layers "0-50" with the memory left
