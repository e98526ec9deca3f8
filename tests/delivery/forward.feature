Feature: The attempts of one request

  Background:
    Given a desk before a chain of engines and two plain replicas

  Scenario: A stream whose stage dies goes on over another path
    # Symptom: an answer ends in the middle. Sequence: an engine dies after
    # the second event.
    Given the first attempt is cut after events 1 and 2
    And the second attempt sends events 3, 4 and the end
    When a stream is asked for
    Then the caller gets events 1 to 4 and a whole answer
    And the second attempt was asked to go on after event 2

  Scenario: A stream that can't go on does not look whole
    Given the first attempt is cut after events 1 and 2
    And the second attempt is cut after events 3 and 4
    When a stream is asked for
    Then the caller gets events 1 to 4 and a cut answer

  Scenario: A stream that ends within an event
    Given the first attempt ends within event 2
    And the second attempt sends events 2, 3 and the end
    When a stream is asked for
    Then the caller gets events 1 to 3 and a whole answer

  Scenario Outline: An answer to a resumed attempt that brings no events
    # Guards against an answer that ends as if it were whole, with its last
    # events missing.
    Given the first attempt is cut after events 1 and 2
    And the second attempt answers <status> as "<type>" with "<body>"
    When a stream is asked for
    Then the caller gets events 1 to 2 and a cut answer
    And attempt 2 is logged as <why>: "<reason>"
    And the engine of attempt 2 is not tried again for it

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
      | 200    | text/event-stream |              | failed | no events  |
      | 200    |                   |              | failed | no events  |
      | 200    | text/event-stream | id: 1, id: 2 | failed | no events  |
      | 200    | text/event-stream | id: 4        | cut    | gap        |

  Scenario: A resumed attempt goes wrong after an event that fits
    Given the first attempt is cut after events 1 and 2
    And the second attempt answers 200 as "text/event-stream" with "id: 2, id: 3, id: 5"
    When a stream is asked for
    Then the caller gets events 1 to 3 and a cut answer
    And attempt 2 is logged as cut: "gap"

  Scenario: A first attempt goes wrong after an event, in the same bytes
    # Guards against an event that counts as passed on and was not.
    Given the first attempt answers 200 as "text/event-stream" with "id: 1, id: 3"
    And the second attempt sends events 2, 3 and the end
    When a stream is asked for
    Then the caller gets events 1 to 3 and a whole answer
    And the second attempt was asked to go on after event 1

  Scenario: A failing replica's answer is passed on when nothing is left
    # Symptom: a caller gets 502 though the service said why it failed.
    Given the replicas answer 500
    When an idempotent call is made
    Then the caller gets the service's own 500 after 2 attempts

  Scenario: A call that may not be repeated is sent once
    Given the replicas answer 500
    When a call that may not be repeated is made
    Then the caller gets the service's own 500 after 1 attempts

  Scenario: The caller leaves while its request waits
    Given all engines are full
    When a stream is asked for and the caller leaves after 0.2 s
    Then nothing was sent and nothing waits

  Scenario: The caller leaves before the first event
    # Symptom: engines work for callers that are gone.
    Given an attempt that never sends anything
    When a stream is asked for and the caller leaves after 0.2 s
    Then the attempt's connection is closed within 0.5 s

  Scenario: The deadline comes before an answer
    Given an attempt that never sends anything
    When a call with 0.4 s to live is made
    Then the caller gets 504 within 0.6 s

  Scenario: A stage that holds up an answer is found and left
    # Symptom: callers turn away after two silent seconds. Sequence: a stage
    # dies; the first engine holds what depends on it for two seconds.
    Given a watch, and an engine whose stage "a100-1" stalls after event 1
    And a twin of "a100-1" at the desk
    When a stream is asked for
    Then the engine is told to go on over the twin within 0.8 s

  Scenario: The first engine of a path is dark
    Given a watch, and an engine that is dark after event 1
    And the second attempt sends events 2, 3 and the end
    When a stream is asked for
    Then the caller gets events 1 to 3 and a whole answer
    And the first engine is given no more work

  @fuzz
  Scenario: Any attempts, one after the other
    When attempts of all kinds follow each other
    Then no answer looks whole that lacks an event
