Feature: Finding the stage that stalls streams from their silence

  Scenario Outline: Streams over paths that share stages
    # Guards against late answers over a dead stage: an engine's report shows
    # it only some hundred milliseconds later, and the answers are rerouted
    # after 0.6 s.
    Given streams "<streams>"
    Then the suspected stages are "<suspects>"

    Examples: stages, silence and usual gap in milliseconds, count
      | streams                              | suspects |
      | a+b+c 20/40 x5                       | none     |
      | a+b+c 70/40 x3                       | none     |
      | a+b+c 90/40 x2                       | none     |
      | a+b+c 90/40 x3                       | a b c    |
      | a+b+c 90/40 x3, a+d+c 10/40 x1       | b        |
      | a+b+c 90/40 x3, a+d+e 30/40 x3       | b c      |
      | a+b+c 90/40 x1, a+d+c 10/40 x1       | none     |
      | a+b+c 210/40 x1, a+d+c 10/40 x1      | b        |
      | a+b+c 130/10 x3, d+e+f 130/10 x3     | a b c d e f |
      | a+b+c 70/10 x3, a+b+d 40/10 x3       | a b c    |
      | a+b+c 70/10 x3, a+b+d 30/10 x3       | c        |
      | a+b+c 150/90 x4                      | none     |

  Scenario: A stage dies under many streams
    # Streams over two paths that share their first stages fall silent; one
    # stage answers no probe, the others do.
    Given a watch over 6 streams on "a100-1" and 2 beside it
    And "a100-1" dies
    When the watch checks its streams 70 ms after the last events
    Then the 6 streams are rerouted or resumed, and the others are not
    And the desk marks "a100-1" as down

  Scenario Outline: The first engine does not respond for a moment
    # Guards against attempts that are ended while no retry is allowed or no
    # other path is there: an engine that does not respond is no reason to end
    # an answer early.
    Given hosts that may repeat <repeats>
    And a watch over 6 streams on "a100-1" and 0 beside it
    And <others> engine more for the first layers
    And the first engine answers no report request
    When the watch checks its streams 1200 ms after the last events
    Then <count> of the streams are ended

    Examples:
      | repeats  | others | count |
      | nothing  | 1      | 0     |
      | as usual | 1      | 6     |
      | as usual | 0      | 0     |

  Scenario: A host that gets no response from any engine
    # Guards against a host that pauses for a moment and reroutes all its
    # streams.
    Given a watch over 6 streams on "a100-1" and 2 beside it
    And no engine answers the host
    When the watch checks its streams 70 ms after the last events
    Then no stream is rerouted
    And the host's own links are checked

  Scenario: The connections of silent streams are lost
    # Guards against callers that leave after two seconds of silence: the links
    # of their host are down, and the engines are sound.
    Given a watch over 6 streams on "a100-1" and 0 beside it
    And the links that they came over are down
    When the watch checks its streams 310 ms after the last events
    Then 6 of the streams are ended
    And no engine is asked for its report

  Scenario: Kept connections live on while new ones are refused
    Given a watch over 6 streams on "a100-1" and 2 beside it
    And the links that they came over are down
    When the watch checks its streams 70 ms after the last events
    Then no stream is rerouted

  Scenario: Lost connections, and no retry is left
    # Guards against a budget that is asked twenty times a second for each.
    Given hosts that may repeat nothing
    And a watch over 6 streams on "a100-1" and 0 beside it
    And the links that they came over are down
    When the watch checks its streams every 50 ms for 2 s
    Then 0 of the streams are ended
    And a retry was asked for at most 8 times for each

  Scenario: Streams that wait for other requests' prefills
    Given a watch over 6 streams on "a100-1" and 2 beside it
    When the watch checks its streams 70 ms after the last events
    Then no stream is rerouted

  Scenario: Another host reports the stage failing
    # Guards against late rerouting, after 0.3 s and more: among two hundred
    # hosts each has only a few streams, too few to show which stage is dead.
    Given a watch over 2 streams on "a100-1" and 0 beside it
    And "a100-1" dies
    When the watch checks its streams 70 ms after the last events
    Then no stream is rerouted
    When other hosts report "a100-1" failing
    And the watch checks its streams 80 ms after the last events
    Then the 2 streams are rerouted or resumed, and the others are not

  Scenario: Silent streams over engines at their limits
    # Guards against probes above the request rate that an engine accepts.
    Given a watch over 6 streams on "a100-1" and 0 beside it
    And "a100-0" and "a100-1" take 0.4 requests a second
    When the watch checks its streams every 100 ms for 3 s
    Then each of them is asked at most once, and others are asked

  Scenario: Silent streams over engines that set a backoff
    # Guards against probes sent to an engine during the backoff that it set.
    Given a watch over 6 streams on "a100-1" and 0 beside it
    And "a100-0" and "a100-1" ask for a backoff of 30 s
    When the watch checks its streams every 100 ms for 3 s
    Then none of them is asked, and others are asked

  Scenario Outline: A stream stays silent over an engine that answers
    # Guards against hundreds of hosts that probe the same engines four times a
    # second for as long as overload keeps streams silent.
    Given <hosts> hosts that have requests over the same engine
    When a stream at each is silent for 5 s and the engine answers each probe
    Then the hosts probe it at most <count> times a second in all

    Examples: a host alone probes it four times a second
      | hosts | count |
      | 1     | 4     |
      | 8     | 18    |
      | 60    | 71    |
      | 195   | 207   |

  Scenario: A stage dies after it was probed
    # Guards against a late reroute by a host that relies on others' probes.
    Given a watch over 6 streams on "a100-1" and 2 beside it
    And five other hosts with requests over the same engines, which rank first
    When the watch checks its streams 70 ms after the last events
    And "a100-1" dies
    And 100 ms later other hosts report "a100-1" failing
    And the watch checks its streams 170 ms after the last events
    Then the 6 streams are rerouted or resumed, and the others are not
