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
