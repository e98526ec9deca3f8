Feature: Finding what keeps streams from their first event

  Scenario Outline: Streams over paths that share components
    # Guards against attempts that end after the caller's timeouts with nobody
    # blamed, and against verdicts for long prompts, queues and a busy fleet.
    Given streams without an event "<waiting>" and with one "<begun>"
    Then the suspects are "<suspects>"

    Examples: path, waited and expected in ms; took and age in ms; count
      | waiting                            | begun                | suspects | why                         |
      | a+b+c 300/60 x3                    | a+d+c 80@250 x1      | b        | the others work             |
      | a+b+c 240/60 x3                    | a+d+c 80@200 x1      | none     | within the least bound      |
      | a+b+c 300/80 x3                    | a+d+c 80@250 x1      | none     | within four times expected  |
      | a+b+c 300/60 x1                    | a+d+c 80@250 x1      | none     | a single stream             |
      | a+b+c 300/60 x2                    | a+d+c 80@250 x1      | b        | all that use it             |
      | a+b+c 300/60 x2, a+b+c 90/60 x1    | a+d+c 80@250 x1      | none     | one may still be in time    |
      | a+b+c 300/60 x2, a+b+c 40/60 x1    | a+d+c 80@250 x1      | b        | the third is not due        |
      | a+b+c 300/60 x2, a+b+e 90/60 x1, a+f+c 300/60 x1 | a+d+c 80@250 x1 | none | b may explain it       |
      | a+b+c 300/60 x3                    | a+b+c 80@250 x1      | none     | an event over it since      |
      | a+b+c 300/60 x3                    | a+b+d 80@500 x1, e+f+g 80@250 x1 | a b c | an event before     |
      | a+b+c 300/60 x3                    |                      | none     | nothing to compare with     |
      | a+b+c 300/60 x3                    | a+d+c 80@350 x1      | none     | the fleet may be busy since |
      | a+b+c 300/60 x3, d+e+f 300/60 x3   | g+h+i 80@250 x1      | none     | the fleet is busy           |
      | a+b+c 300/60 x3                    | a+d+c 260@270 x1     | none     | the others are late too     |
      | a+b+c 1100/600 x3                  | a+d+c 80@250 x1      | none     | long prompts                |
      | a+b+c 300/60 x2, d+e+f 300/60 x1   | a+g+c 80@250 x2      | none     | two late among other late   |
      | a+b+c 1900/450 x2                  | a+d+c 80@250 x1      | none     | long prompts in a queue     |
      | a+b+e 300/200 x1, a+b+c 280/60 x2  | a+d+c 80@250 x1      | none     | a long prompt is ahead      |
      | a+p+c 300/60 x2, a+q+c 300/60 x2, a+p+q 300/60 x1 | a+d+c 80@250 x2 | p q | two wait for each other  |
      | a+X>Y+b 300/60 x1, c+X>Y+d 300/60 x1 |                    | X>Y      | a link                      |
      | a+X>Y+b 300/60 x3                  |                      | none     | a link or an engine         |

  Scenario: A suspect may be judged once a second, for new streams only
    # Guards against a pause that is renewed for the streams that led to it.
    Given streams without an event "a+b+c 300/60 x3" and with one "a+d+c 80@250 x1"
    When the suspects answer their probes
    Then the suspects are "none" after 900 ms
    And the suspects are "none" after 1100 ms

  Scenario: A host that is cut off
    # Guards against engines that are declared dead by the host that no longer
    # reaches them.
    Given streams without an event "a+X>Y+b 300/60 x1, c+X>Y+d 300/60 x1" and with one "c+g 80@250 x1"
    When no probe is answered
    Then there is no verdict, and the suspects remain

  Scenario: A stage accepts work and produces nothing
    # Guards against streams that wait until their callers leave: the engine
    # answers probes, so it is not dead.
    Given a watch over 3 streams on "a100-1" and 2 beside it
    And the streams on it get no first event
    When the watch checks its streams 300 ms after the last events
    Then the 3 streams are rerouted or resumed, and the others are not
    And "a100-1" is blamed and paused, not failed, and no host is told
    When a stream over "a100-1" begins
    Then "a100-1" is used again

  Scenario: An event comes while the suspects are probed
    # Guards against a working engine that is paused after the event that
    # clears it, during probes of some hundred milliseconds.
    Given a watch over 3 streams on "a100-1" and 2 beside it
    And the streams on it get no first event
    And one of them begins while engines are probed
    When the watch checks its streams 300 ms after the last events
    Then no stream is rerouted
    And no engine is paused or down by the probes

  Scenario: A dead stage before any event
    # Guards against a pause of 0.25 s for an engine that is dead.
    Given a watch over 3 streams on "a100-1" and 2 beside it
    And the streams on it get no first event
    And "a100-1" dies
    When the watch checks its streams 300 ms after the last events
    Then the 3 streams are rerouted or resumed, and the others are not
    And the desk marks "a100-1" as down

  Scenario: No engine answers while streams get no first event
    # Guards against a host that is cut off and gives up all its streams.
    Given a watch over 3 streams on "a100-1" and 2 beside it
    And the streams on it get no first event
    And no engine answers the host
    When the watch checks its streams 300 ms after the last events
    Then no stream is rerouted
    And no engine is paused or down by the probes

  Scenario: Nothing comes over a link between data centres
    # Guards against requests that hold memory on both sides of a full link
    # while no component is blamed.
    Given a watch over 3 streams on "a100-1" and 0 beside it
    And the streams on it cross from "kl" to "pg", over engines of their own
    And the streams on it get no first event
    When the watch checks its streams 300 ms after the last events
    Then the link from "kl" to "pg" is logged as stalled once
    And no engine is paused or down by the probes

  Scenario: Verdicts on many engines
    # Guards against a fleet without engines, should all verdicts be wrong.
    Given 7 engines with layers and 5 without
    When all of them are judged unproductive
    Then 2 are paused
    And 2 more may be paused 300 ms later

  Scenario Outline: One unproductive stage among hosts with few streams
    # Guards against a verdict that needs more streams than a host has.
    Given <hosts> hosts, and an engine that stops producing
    Then each host whose streams show it finds it within 1.0 s
    And no working engine is paused for longer than 2.0 s

    Examples:
      | hosts |
      | 8     |
      | 60    |
      | 195   |

  Scenario Outline: All streams are slow together
    # Guards against a busy fleet that loses engines by verdicts.
    Given <hosts> hosts, and a fleet that becomes busy
    Then no engine is paused

    Examples:
      | hosts |
      | 8     |
      | 60    |
      | 195   |
