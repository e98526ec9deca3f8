Feature: What a search for a path costs, and where it goes

  Background:
    Given engines of three data centres that hold the model, one copy each

  Scenario: Nothing has room
    # Symptom: a host with half a core answers nobody for seconds in a burst,
    # though it has nothing to do but refuse. Sequence: all engines are full;
    # requests queue up, and each arrival and each tick searches all data
    # centres again. Cause: what the last search found was not kept.
    Given no engine has room
    When 30 requests arrive within 20 ms, and time passes in ticks
    Then a path was looked for 2 times

  Scenario: Nothing has room, and others go on telling
    # Guards against a search with each piece of news and each report.
    Given no engine has room
    When 30 requests arrive within 20 ms, and time passes in ticks
    And they wait for 1 s, with news and reports a hundred a second
    Then a path was looked for at most 13 times

  Scenario: Nothing has room for requests that engines turned away
    # Guards against a search for each of them with each piece of news.
    Given no engine has room
    When 10 requests wait that other engines turned away each
    And they wait for 1 s, with news and reports a hundred a second
    Then a path was looked for at most 25 times

  Scenario: Room that comes back
    Given no engine has room
    When 30 requests arrive within 20 ms, and time passes in ticks
    And a request of this host ends
    Then a waiting request starts at once

  Scenario: Room that comes back to a request that others hold
    # Guards against one in quarantine that an arrival has started.
    Given no engine has room
    When a request waits that others then hold, and another one finds room
    Then the one is refused as held, and the other one starts

  Scenario: A smaller request than the one that found no room
    Given every engine has room for 500 tokens
    When a request of 900 tokens arrives, and one of 300 tokens right after it
    Then the smaller one has a path, and the larger one none

  Scenario: Room near by
    # Most requests find it; what the engines of other data centres offer is
    # two thirds of the work of a choice.
    When a request is sent
    Then only the engines of kl-hall were made out

  Scenario: Other data centres in turn
    # Symptom: the engines of one data centre refuse for want of memory, while
    # those of the next have room. Sequence: a data centre loses an engine, and
    # all its hosts send its requests to the fastest other one. Cause: each
    # knows what the others sent a quarter of a second late.
    Given two more data centres, somewhat slower
    And no engine of kl-hall has room
    When the paths of 40 requests are chosen by hosts that know nothing of each other
    Then three data centres have some, and none has more than six in ten
