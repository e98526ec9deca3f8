Feature: Pages of the newest records that are older than their end

  Scenario Outline: A version is missing from the page that a host read
    # Guards against a version that all hosts of a data centre miss until the
    # next one: history is dropped, and the page that is read instead is older
    # than the end that it names.
    Given a store with configuration 3, a reader and a host that asks the reader
    When history is dropped with configuration 4, and pages are behind
    And <meanwhile>
    And pages are current again after 1.2 s
    Then all hosts have configuration 4 within 1 s

    Examples:
      | meanwhile                                      |
      | nothing else happens                           |
      | another host takes over the reader's state     |
      | that host's reader stops after the handover    |
      | another key is written                         |
      | the host that asks the reader reads the store  |

  Scenario: A newer version while one is missing
    # Guards against a newer version that is delayed by the search for an older
    # one.
    Given a store with configuration 3, a reader and a host that asks the reader
    When history is dropped with configuration 4, and pages are behind
    And configuration 5 is written
    Then all hosts have configuration 5 within 1 s

  Scenario: What a host knows and an older page lacks
    # Guards against upstreams that vanish or come back: the page is older than
    # what the host has read.
    Given a host that reads "a b c", then "d" and the removal of "a"
    When history is dropped with "e", and pages are from before "c"
    And it reads further
    Then it has "b c d"
    When 0.5 s pass twice, and it reads further after each
    Then it has "b c d"
    When 0.5 s pass, pages are current again, and it reads further
    Then it has "b c d e", and no doubt

  Scenario: A removal that only pages show
    # Guards against an upstream that has left and stays on the list: an older
    # page has its entry, and no later read names it.
    Given a host that reads "a b c", then "d" and the removal of "a"
    When history is dropped with the removal of "d", and pages are current
    And it reads further for 11 s
    Then it has "b c", and no doubt

  Scenario: A host that has read further than the one that finds the record
    # Guards against a record that a host lacks for good: it was found by
    # another host later, and lies before the positions of both.
    Given a host that reads "a b", and another one that takes its state
    When history is dropped with "c", and pages are behind
    And the first reads further, the other takes its state, and "d" is written
    And the other reads the store, then 0.5 s pass, and pages are current again
    And the first reads further, and the other takes its state
    Then both have "a b c d"

  Scenario Outline: Calls to the store in the ordinary state
    # Guards against calls that a topic costs with nothing missing from it.
    Given a store with "a b", and then <last>
    When a host reads all and then changes
    Then it has "<found>" after at most <calls> calls

    Examples:
      | last                | found | calls |
      | "c"                 | a b c | 2     |
      | the removal of "b"  | a     | 3     |

  Scenario: A page that is older than its end while history is kept
    # Guards against waiting for a page where one read has what it lacks.
    Given a store with "a b", and then "c"
    When a host reads all while pages are from before "b"
    Then it has "a b c", and no doubt

  Scenario: A position that the store has not reached
    # Guards against a host that waits for good at a position ahead of the log.
    Given a host that reads "a b c", then "d" and the removal of "a"
    When it reads changes from a position ahead of the log
    Then it must read all again

  Scenario: Pages and their end that are behind what a host knows
    # Guards against an upstream that has left and comes back for a moment: the
    # host reads all from an older page, and goes on from its end.
    Given a host that reads "a b c", then "d" and the removal of "d"
    When it reads all while pages and their end are from before "c"
    Then it has "a b c", and did not have "d" meanwhile

  Scenario: A store whose history ends at every read
    # Guards against hundreds of calls a second to the store, where the position
    # of the newest records has expired each time.
    Given a feed whose source returns the newest state and then no changes
    When it runs for 1 s
    Then its source was called at most 10 times

  Scenario: A read that ends before the end of the log
    # Guards against a change that comes seconds late at a host that is not the
    # reader: the store returned only a part of what it has.
    Given a store with "a b", and a feed that reads every 12 s
    When "c d e f" are written at once, of which a read returns one
    Then it has "a b c d e f" within 1 s of its next read
