Feature: What a host knows of configuration and upstreams

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

  Scenario: An upstream that leaves
    # Symptom: work reaches an upstream long after it said that it leaves.
    # Sequence: an entry from before arrives after the one that says so.
    Given an upstream "u" that is listed
    When it is listed as draining
    And it is listed as ready again
    Then it is still draining

  Scenario: Entries that lapsed while the store was away
    # Symptom: a data centre without upstreams for two seconds. Sequence: the
    # store was away and comes back; the entries follow within two seconds.
    Given an upstream "u" that is listed
    When the store returns and the entry is missing
    Then it is kept for 1.9 s and gone after 2.1 s
    When the entry is removed while the store is stable
    Then it is gone at once

  Scenario: A server that restarts at its address
    # Symptom: an engine answers 400. Sequence: it restarts under another id,
    # both entries are listed for a while, and a path names both.
    Given an upstream "u" that is listed
    When upstream "v" is listed at the address of "u"
    Then only "v" is listed
    When the entry of "u" is removed
    Then only "v" is listed

  Scenario: Layers that an engine reported itself
    # Symptom: requests go to layers that are no longer there. Sequence: an
    # engine reports new layers; its entry from before is read after.
    Given an upstream "u" that is listed
    When it reports layers "20-31" and an older entry says "0-20"
    Then it holds "20-31"
    When its entry says "0-20" 5 s later
    Then it holds "0-20"

  Scenario: Layers that an engine reported, and a list that says otherwise
    # Symptom: requests are sent for good to layers that are no longer held.
    # Sequence: an engine restarts after its report; its entry is not written
    # anew, since it says what it said before.
    Given an upstream "u" that is listed
    When it reports layers "20-31"
    Then it holds "20-31" until 3.9 s later and "0-20" after 4.1 s

  Scenario: History that is no longer kept
    # Symptom: an upstream that has left stays on the list. Sequence: its
    # removal was dropped from the history before it was read.
    Given a feed whose source forgot its history and an entry
    When it reads on
    Then it takes the newest state as a whole, without the entry

  Scenario: A store that does not answer
    Given a feed whose source fails 6 times
    When it runs until the source answers
    Then its pauses grow from 0.1 s to at most 1 s
    And the sink is told that the source is back

  Scenario: An older configuration
    # Symptom: a route that was removed works again. Sequence: a read that was
    # under way for long brings an older version.
    Given a host that has configuration 7 in force
    When configuration 6 is read
    Then configuration 7 is in force

  Scenario Outline: What a host hands to another
    # Symptom: an upstream that has left stays on another host's list, or its
    # removal takes an entry away that was written again.
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

  Scenario: Many keys that were dropped
    # Symptom: a host's memory grows with each upstream that ever left.
    Given a topic that was read whole up to offset 10 with keys "a, b"
    When 300 other keys are written and dropped
    Then at most 256 changes are ever handed over
    And a host that has read up to 10 is handed all of "a, b"

  Scenario: A snapshot that can't be read
    When a host hands over bytes that are no snapshot
    Then they count as no answer

  Scenario: A large configuration
    # Symptom: hosts have no room left on their links for callers while a
    # configuration of 1,640 routes goes from host to host.
    Then a configuration of 1640 routes takes a tenth when handed over

  Scenario: A host that asks its neighbours first
    # Symptom: calls to the store grow with the hosts and the changes.
    Given a source that asks other hosts first
    When it reads while a host answers
    Then the store was not called
    When it reads while no host answers
    Then the store was called once

  Scenario: A host that starts among others
    # Symptom: a host that starts again refuses its callers for a second and
    # more. Cause: it read a large configuration from the store over a link of
    # 10 Mbit/s, while its neighbours have it in a twentieth of the bytes.
    Given a source that asks other hosts at its start
    When it reads all while a host answers
    Then the store was not called
    When it reads all once more
    Then the store was asked for all once

  Scenario: A host that starts before all others
    Given a source that asks other hosts at its start
    When it reads all while no host answers
    Then the store was asked for all once

  Scenario: A host that the store turns away
    # Symptom: keys that were taken away still work at some hosts. Sequence:
    # the store refuses them, serves the others, and a version is written.
    Given a source that asks the store first
    When it reads while the store is away and a host answers
    Then what the host has is taken, and the store counts as lost

  Scenario: Pokes while the store is away
    # Symptom: a host that the store turns away calls it twenty times a
    # second. Sequence: its neighbours, which the store serves, know something
    # newer and say so four times a second each.
    Given a feed whose source always fails
    When it is poked 50 times within 0.5 s
    Then its source was called at most 20 times
