Feature: The stage that holds up streams, found from the streams

  Scenario Outline: Streams over paths that share stages
    # Symptom: all answers over a dead stage are late: moved after 0.6 s.
    # Cause: an engine's report tells it some hundred milliseconds later.
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
    # Sequence: streams of two paths that share their first stages fall silent;
    # one stage answers no question, the others do.
    Given a watch over 6 streams on "a100-1" and 2 beside it
    And "a100-1" dies
    When the watch looks 70 ms after the last events
    Then the 6 streams are moved or resumed, and the others are not
    And the desk knows that "a100-1" is down

  Scenario Outline: The first engine does not answer for a moment
    # Symptom and cause: as with attempts that are ended without a repeat; an
    # engine's silence is no reason to end an answer sooner.
    Given hosts that may repeat <repeats>
    And a watch over 6 streams on "a100-1" and 0 beside it
    And the first engine answers no question
    When the watch looks 1200 ms after the last events
    Then <count> of the streams are ended

    Examples:
      | repeats  | count |
      | nothing  | 0     |
      | as usual | 6     |

  Scenario: A host that hears nobody
    # Symptom: a host that stands still for a moment moves all its streams.
    Given a watch over 6 streams on "a100-1" and 2 beside it
    And no engine answers the host
    When the watch looks 70 ms after the last events
    Then no stream is moved

  Scenario: Streams that wait while prompts are read
    Given a watch over 6 streams on "a100-1" and 2 beside it
    When the watch looks 70 ms after the last events
    Then no stream is moved

  Scenario: Another host finds the stage failing
    # Symptom: among two hundred hosts each has a few streams, too few to show
    # which of their stages is dead; they are moved after 0.3 s and more.
    Given a watch over 2 streams on "a100-1" and 0 beside it
    And "a100-1" dies
    When the watch looks 70 ms after the last events
    Then no stream is moved
    When other hosts tell that "a100-1" is failing
    And the watch looks 80 ms after the last events
    Then the 2 streams are moved or resumed, and the others are not

  Scenario: Silent streams over engines at their limits
    # An engine in need is asked for reports beyond the requests that it takes.
    Given a watch over 6 streams on "a100-1" and 0 beside it
    And "a100-0" and "a100-1" take 0.4 requests a second
    When the watch looks each 100 ms for 3 s
    Then each of them is asked at most once, and others are asked

  Scenario: Silent streams over engines that asked for rest
    # An engine that asked a host for rest is asked for reports all the same.
    Given a watch over 6 streams on "a100-1" and 0 beside it
    And "a100-0" and "a100-1" ask for 30 s of rest
    When the watch looks each 100 ms for 3 s
    Then none of them is asked, and others are asked
