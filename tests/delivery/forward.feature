Feature: Forwarding a request in one or more attempts

  Background:
    Given a desk before a chain of engines and two plain replicas

  Scenario: A stream whose stage dies is resumed over another path
    # Guards against an answer that ends half-way: an engine dies after the
    # second event.
    Given the first attempt is cut after events 1 and 2
    And the second attempt sends events 3, 4 and the end
    When a stream is asked for
    Then the caller gets events 1 to 4 and a whole answer
    And the second attempt was asked to resume after event 2

  Scenario: A stream that can't be resumed does not look complete
    Given the first attempt is cut after events 1 and 2
    And the second attempt is cut after events 3 and 4
    When a stream is asked for
    Then the caller gets events 1 to 4 and a cut answer

  Scenario: A stream that is cut between its head and its first event
    # Tells the request that an engine began to answer when it crashed from
    # those that only waited there.
    Given the first attempt is cut after events none
    And the second attempt sends events 1, 2 and the end
    When a stream is asked for
    Then the caller gets events 1 to 2 and a whole answer
    And attempt 1 is logged with the head of an answer and without events

  Scenario Outline: What an answer shows of the segments of its prompt
    # Guards against segments that crash engines after some events and count as
    # harmless by these.
    Given the first attempt <first>
    And the second attempt <second>
    When a stream is asked for
    Then the segments of its prompt count as <result>

    Examples:
      | first                         | second                        | result     |
      | sends events 1, 2 and the end | is cut after events none      | answered   |
      | is cut after events 1 and 2   | is cut after events 3 and 4   | unanswered |
      | is cut after events 1 and 2   | sends events 3, 4 and the end | answered   |
      | is cut after events 1 and 2   | sends events none and the end | unanswered |
      | sends events 1, 2 and closes  | is cut after events none      | unanswered |
      | answers 500 and closes        | sends events 1, 2 and closes  | unanswered |

  Scenario: An error that ends with its connection is retried
    # Guards against a complete answer that counts as a possible crash by the
    # end of an earlier attempt.
    Given the first attempt answers 500 and closes
    And the second attempt sends events 1, 2 and the end
    When a stream is asked for
    Then the caller gets events 1 to 2 and a whole answer
    And the segments of its prompt count as answered

  Scenario: A stream that ends within an event
    Given the first attempt ends within event 2
    And the second attempt sends events 2, 3 and the end
    When a stream is asked for
    Then the caller gets events 1 to 3 and a whole answer

  Scenario Outline: A resuming attempt that adds no events
    # Guards against an answer that looks complete although its last events are
    # missing.
    Given the first attempt is cut after events 1 and 2
    And the second attempt answers <status> as "<type>" with "<body>"
    When a stream is asked for
    Then the caller gets events 1 to 2 and a cut answer
    And attempt 2 is logged as <why>: "<reason>"
    And the engine of attempt 2 gets no further attempt of the request

    Examples:
      | status | type              | body         | why    | reason     |
      | 500    | text/plain        | why          | failed | status 500 |
      | 500    | text/event-stream | id: 3        | failed | status 500 |
      | 500    |                   |              | failed | status 500 |
      | 503    | text/plain        | full         | failed | status 503 |
      | 429    | text/plain        | full         | failed | status 429 |
      | 421    | text/plain        | other        | failed | status 421 |
      | 408    | text/plain        | late         | failed | status 408 |
      | 404    | text/plain        | none         | failed | status 404 |
      | 401    | text/plain        | key          | failed | status 401 |
      | 204    |                   |              | failed | status 204 |
      | 302    |                   |              | failed | status 302 |
      | 200    | text/html         | id: 3        | failed | text/html  |
      | 200    | application/json  | {}           | failed | application/json |
      | 200    | text/event-stream |              | empty  | no events  |
      | 200    |                   |              | empty  | no events  |
      | 200    | text/event-stream | id: 1, id: 2 | empty  | no events  |
      | 200    | text/event-stream | id: 4        | cut    | gap        |

  Scenario Outline: The last event comes with the loss of its connection
    # Guards against an answer that is cut though its caller has every event,
    # and against one that looks complete by a single upstream's word.
    Given two more engines for the first layers
    And the first attempt is cut after events 1 and 2
    And the second attempt answers 200 as "text/event-stream" with ""
    And the third attempt answers 200 as "text/event-stream" with "<body>"
    When a stream is asked for
    Then the caller gets events 1 to <last> and a whole answer
    And 3 attempts were made

    Examples:
      | body         | last |
      |              | 2    |
      | id: 1, id: 2 | 2    |
      | id: 3        | 3    |

  Scenario: A resuming attempt has a gap after a valid event
    Given the first attempt is cut after events 1 and 2
    And the second attempt answers 200 as "text/event-stream" with "id: 2, id: 3, id: 5"
    When a stream is asked for
    Then the caller gets events 1 to 3 and a cut answer
    And attempt 2 is logged as cut: "gap"

  Scenario: A first attempt has a gap after an event, in the same bytes
    # Guards against an event that is counted as forwarded but was dropped.
    Given the first attempt answers 200 as "text/event-stream" with "id: 1, id: 3"
    And the second attempt sends events 2, 3 and the end
    When a stream is asked for
    Then the caller gets events 1 to 3 and a whole answer
    And the second attempt was asked to resume after event 1

  Scenario: A replica's error response is returned if all replicas fail
    # Guards against a 502 that hides the service's own error.
    Given the replicas answer 500
    When an idempotent call is made
    Then the caller gets the service's own 500 after 2 attempts

  Scenario: A non-idempotent call is sent once
    Given the replicas answer 500
    When a call that may not be repeated is made
    Then the caller gets the service's own 500 after 1 attempts

  Scenario: The caller disconnects while its request waits
    Given all engines are full
    When a stream is asked for and the caller leaves after 0.2 s
    Then nothing was sent and nothing waits

  Scenario: The caller disconnects before the first event
    # Guards against engines that work for disconnected callers.
    Given an attempt that never sends anything
    When a stream is asked for and the caller leaves after 0.2 s
    Then the attempt's connection is closed within 0.5 s

  Scenario: The deadline passes before an answer
    Given an attempt that never sends anything
    When a call with 0.4 s to live is made
    Then the caller gets 504 within 0.6 s

  Scenario: A stream is rerouted around a stalled stage
    # Guards against callers that disconnect after two seconds of silence: a
    # stage dies, and the first engine keeps the streams over it open for two
    # seconds.
    Given a watch, and an engine whose stage "a100-1" stalls after event 1
    And a twin of "a100-1" at the desk
    When a stream is asked for
    Then the engine is ordered to reroute over the twin within 0.8 s

  Scenario: The engines that a stream is moved to crash after some events
    # Guards against a segment that crashes engines and counts as harmless by
    # the time for which its stream waited between two of them.
    Given a watch, and a stage "a100-1" that stalls after event 1
    And the engines that take over are cut 0.1 s after event 2, 2.2 s later
    And a twin of "a100-1" at the desk
    And every other attempt is refused
    When a stream is asked for and the engine is ordered to reroute it
    Then the segments of its prompt count as unanswered

  Scenario: The first engine of a path stops responding
    Given a watch, and an engine that stops responding after event 1
    And the second attempt sends events 2, 3 and the end
    When a stream is asked for
    Then the caller gets events 1 to 3 and a whole answer
    And the first engine gets no further attempts

  Scenario: A silent engine goes on before another one brings anything
    # Guards against an answer that is ended though its engine was only slow.
    Given a watch, and an engine that pauses 1.5 s after event 1 of 3
    And the second attempt brings nothing for 5 s
    When a stream is asked for
    Then the caller gets events 1 to 3 and a whole answer
    And the second attempt's connection is closed

  Scenario: A silent engine goes on after all others refused
    # Guards against an answer that is ended before another engine accepts it.
    Given a watch, and an engine that pauses 1.5 s after event 1 of 3
    And every other attempt is refused
    When a stream is asked for
    Then the caller gets events 1 to 3 and a whole answer

  Scenario: Another engine brings the rest before the silent one goes on
    Given a watch, and an engine that pauses 5 s after event 1 of 3
    And the second attempt sends events 2, 3 and the end
    When a stream is asked for
    Then the caller gets events 1 to 3 and a whole answer
    And the first attempt is logged as ended by the host

  Scenario Outline: A silent attempt breaks while another one waits for its engine
    # Guards against an answer that is begun a third time though the engine of
    # the second attempt only takes <seconds> s.
    Given a watch, and an engine that is cut 1 s after event 1
    And every other first engine returns its report
    And the second attempt pauses <seconds> s before events 2 and 3
    When a stream is asked for
    Then the caller gets events 1 to 3 and a whole answer
    And 2 attempts were made

    Examples:
      | seconds |
      | 1       |
      | 2       |

  Scenario: An attempt that took over goes on before another one brings anything
    # Guards against an answer that is ended or repeated though the engine that
    # took over was only slow.
    Given a watch, and an engine that is cut 1 s after event 1
    And the second attempt sends events 2 and 3 once a third one is silent
    When a stream is asked for
    Then the caller gets events 1 to 3 and a whole answer
    And 3 attempts were made
    And the connection of attempt 3 is closed

  Scenario: An attempt that took over is silent as well
    # Guards against a caller that leaves since nothing replaces the second of
    # two engines that do not respond.
    Given a watch, and an engine that is cut 1 s after event 1
    And the second attempt brings nothing for 5 s
    And the third attempt sends events 2, 3 and the end
    When a stream is asked for
    Then the caller gets events 1 to 3 and a whole answer
    And 3 attempts were made
    And the connection of attempt 2 is closed

  Scenario Outline: Both a silent attempt and the one beside it break, after <seconds> s
    # Guards against an answer that is given up though one of its engines ended.
    Given a watch, and an engine that is cut <seconds> s after event 1
    And its first engine answers no probe
    And the second attempt is cut 1 s later
    And the third attempt sends events 2, 3 and the end
    When a stream is asked for
    Then the caller gets events 1 to 3 and a whole answer

    Examples:
      | seconds |
      | 0.1     |
      | 0.5     |
      | 0.9     |
      | 1       |

  Scenario: The caller leaves while two attempts run
    # Guards against engines that work for disconnected callers.
    Given a watch, and an engine that stops responding after event 1
    And the second attempt brings nothing for 5 s
    When a stream is asked for and the caller leaves after 1.2 s
    Then the connections of 2 attempts are closed within 0.5 s

  @fuzz
  Scenario: Random sequences of attempts
    When attempts of all kinds follow each other
    Then no incomplete answer looks complete
