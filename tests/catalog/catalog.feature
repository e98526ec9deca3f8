Feature: Configuration, list of upstreams, and their feeds

  Scenario Outline: The route of a request
    Given routes "/a/, /a/b/, /a/b/c/" of host "desk.example"
    Then the route for "<host>" and "<path>" is "<route>"

    Examples:
      | host              | path      | route   |
      | desk.example      | /a/x      | /a/     |
      | desk.example      | /a/b/x    | /a/b/   |
      | DESK.example      | /a/b/c/   | /a/b/c/ |
      | desk.example:8080 | /a/b/c/d  | /a/b/c/ |
      | desk.example      | /ab/x     | none    |
      | desk.example      | /a        | none    |
      | other.example     | /a/x      | none    |

  Scenario: Weights of a split
    Given a route split 90 to 10
    When 2000 services are chosen
    Then between 1720 and 1880 are the first

  Scenario: A delayed entry of a draining upstream
    # Guards against requests to a draining upstream: an entry from before it
    # drained arrives after the one that says so.
    Given an upstream "u" that is listed
    When it is listed as draining
    And it is listed as ready again
    Then it is still draining

  Scenario: Entries that lapsed during an outage of the store
    # Guards against a data centre without upstreams for two seconds: after an
    # outage of the store, entries are written again within two seconds.
    Given an upstream "u" that is listed
    When the store returns and the entry is missing
    Then it is kept for 1.9 s and gone after 2.1 s
    When the entry is removed while the store is stable
    Then it is gone at once

  Scenario: A server that restarts at its address
    # Guards against status 400 of an engine: it restarts under another id, both
    # entries are listed for some time, and a path contains both.
    Given an upstream "u" that is listed
    When upstream "v" is listed at the address of "u"
    Then only "v" is listed
    When the entry of "u" is removed
    Then only "v" is listed

  Scenario: Reported layers override an older entry
    # Guards against requests to layers that an engine no longer holds: it
    # reports new layers, and its entry from before is read later.
    Given an upstream "u" that is listed
    When it reports layers "20-31" and an older entry says "0-20"
    Then it holds "20-31"
    When its entry says "0-20" 5 s later
    Then it holds "0-20"

  Scenario: Reported layers expire
    # Guards against endless requests to layers that an engine no longer holds:
    # it restarts after its report, and its entry is not rewritten, since its
    # value is the same as before.
    Given an upstream "u" that is listed
    When it reports layers "20-31"
    Then it holds "20-31" until 3.9 s later and "0-20" after 4.1 s

  Scenario: Expired history
    # Guards against a removed upstream that stays on the list: its removal was
    # dropped from the store's history before it was read.
    Given a feed whose source forgot its history and an entry
    When it reads on
    Then it takes the newest state as a whole, without the entry
    And it paused between 2 reads only

  Scenario: A store that does not answer
    Given a feed whose source fails 6 times
    When it runs until the source answers
    Then its pauses grow from 0.1 s to at most 1 s
    And the sink records that the source is back

  Scenario: An older configuration
    # Guards against a removed route that works again: a delayed read returns an
    # older version.
    Given a host that has configuration 7 in force
    When configuration 6 is read
    Then configuration 7 is in force

  Scenario Outline: What a host knows of the configuration's versions
    # Guards against versions that come late, were never heard of or can't be
    # read, and that look alike to who is on call.
    Given a host that has configuration 7 in force
    When <what>, and 3 s pass
    Then the newest version is <newest>, and it is behind for <behind> s
    And the topic was read <read> s ago

    Examples:
      | what                                | newest | behind | read |
      | another host names configuration 7  | 7      | 0      | 5    |
      | another host names configuration 9  | 9      | 3      | 5    |
      | the topic is read                   | 7      | 0      | 3    |
      | configuration 9 is read             | 9      | 0      | 3    |

  Scenario Outline: The snapshot for another host
    # Guards against a removed upstream that stays on another host's list, and
    # against a removal that deletes an entry written again since.
    Given a topic that was read whole up to offset 10 with keys "a, b"
    When "b" is dropped, "c" written and "a" written as it was
    Then a host that has read up to <offset> is handed <what>

    Examples:
      | offset | what             |
      | -1     | all of "a, c"    |
      | 4      | all of "a, c"    |
      | 10     | changes "-b, c"  |
      | 12     | changes ""       |
      | 13     | changes ""       |
      | 14     | nothing          |

  Scenario: Many removed keys
    # Guards against memory that grows with each upstream ever removed.
    Given a topic that was read whole up to offset 10 with keys "a, b"
    When 300 other keys are written and dropped
    Then at most 256 changes are ever handed over
    And a host that has read up to 10 is handed all of "a, b"

  Scenario: A snapshot that can't be read
    When a host hands over bytes that are no snapshot
    Then they count as no answer

  Scenario: A large configuration
    # Guards against links that are too busy for callers while hosts send each
    # other a configuration of 1,640 routes.
    Then a configuration of 1640 routes takes a tenth when handed over

  Scenario: A host that calls other hosts before the store
    # Guards against calls to the store that grow with hosts times changes.
    Given a source that asks other hosts first
    When it reads while a host answers
    Then the store was not called
    When it reads while no host answers
    Then the store was called once

  Scenario: A host that starts while others run
    # Guards against a restarted host that refuses its callers for more than a
    # second, since it reads a large configuration from the store over a link of
    # 10 Mbit/s. Other hosts send it in a twentieth of the bytes.
    Given a source that asks other hosts at its start
    When it reads all while a host answers
    Then the store was not called
    When it reads all once more
    Then the store was asked for all once

  Scenario Outline: A host that has to read all again after a pause
    # Guards against a host that stood still while the store came back from a
    # copy, and takes the time of its own read for that of the store's return.
    Given a source that asks other hosts at its start
    When it reads all while no host answers
    And it reads all <pause> s later while a host answers
    Then the store was called <calls> times

    Examples:
      | pause | calls |
      | 1.9   | 2     |
      | 2.1   | 1     |

  Scenario Outline: The next read of a list from which entries will lapse
    Given a reader with <left> s left until an entry lapses
    Then it reads the list again within <period> s

    Examples:
      | left | period |
      | 0.3  | 0.3    |
      | 2.0  | 0.8    |

  Scenario: A host that starts before all others
    Given a source that asks other hosts at its start
    When it reads all while no host answers
    Then the store was asked for all once

  Scenario: A host that the store refuses
    # Guards against revoked API keys that still work at some hosts: the store
    # refuses these hosts, serves the others, and a new version is written.
    Given a source that asks the store first
    When it reads while the store is away and a host answers
    Then what the host has is taken, and the store counts as lost

  Scenario: Wake-ups during an outage of the store
    # Guards against a refused host that calls the store twenty times a second:
    # other hosts, which the store serves, have newer state and send peer
    # updates four times a second each.
    Given a feed whose source always fails
    When it is woken 50 times within 0.5 s
    Then its source was called at most 20 times
