Feature: Cost and order of path searches

  Background:
    Given engines of three data centres that hold the model, one copy each

  Scenario: All engines are full
    # Guards against a host with half a core that answers nobody for seconds in
    # a burst. All engines are full and requests queue up; without the cached
    # result of the last search, each arrival and each tick searches all data
    # centres again.
    Given no engine has room
    When 30 requests arrive within 20 ms, and time passes in ticks
    Then a path was looked for 2 times

  Scenario: All engines are full, and peer updates arrive
    # Guards against a search at each peer update and each report.
    Given no engine has room
    When 30 requests arrive within 20 ms, and time passes in ticks
    And they wait for 1 s with 100 peer updates and reports a second
    Then a path was looked for at most 13 times

  Scenario: All engines are full for requests that engines refused
    # Guards against a search for each of them at each peer update.
    Given no engine has room
    When 10 requests wait that other engines have refused
    And they wait for 1 s with 100 peer updates and reports a second
    Then a path was looked for at most 25 times

  Scenario: A request ends and frees memory
    Given no engine has room
    When 30 requests arrive within 20 ms, and time passes in ticks
    And a request of this host ends
    Then a waiting request starts at once

  Scenario: Freed memory is not used for a quarantined request
    # Guards against a quarantined request that the arrival of another starts.
    Given no engine has room
    When a request waits that other hosts quarantine, and another one finds a path
    Then the one is refused as quarantined, and the other one starts

  Scenario: A smaller request than the one that found no path
    Given every engine has room for 500 tokens
    When a request of 900 tokens arrives, and one of 300 tokens right after it
    Then the smaller one has a path, and the larger one none

  Scenario: Free capacity in the local data centre
    # Most requests find it there; computing the candidates of the other data
    # centres is two thirds of the work of a search.
    When a request is sent
    Then only the candidates of kl-hall were computed

  Scenario: Requests are spread over the other data centres
    # Guards against engines of one data centre that refuse for lack of memory
    # while those of the next have some. A data centre loses an engine, and all
    # its hosts send their requests to the fastest other data centre, as each
    # learns what the others sent a quarter of a second late.
    Given two more data centres, somewhat slower
    And no engine of kl-hall has room
    When the paths of 40 requests are chosen by hosts that know nothing of each other
    Then three data centres have some, and none has more than six in ten
