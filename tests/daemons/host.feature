Feature: Requests through a host process, from callers to upstreams

  Background:
    Given a store, four engines, two plain replicas and a host

  Scenario: A stream
    When a stream is requested with key "key-1"
    Then events 1 to 5 arrive, with the signature of the engine
    And the engine got workspace "tailors", a path over all layers and no key

  Scenario: A stream whose engine closes the connection
    # Guards against an answer that ends in the middle of an event.
    Given the first engine breaks off after 2 events
    When a stream is requested with key "key-1"
    Then events 1 to 5 arrive, with the signature of the engine

  Scenario: A stream whose engine closes the connection, and the next one fails
    # Guards against an answer that looks complete but lacks its last events.
    Given the first engine breaks off after 2 events
    And engines fail when they resume an answer
    When a stream is requested with key "key-1"
    Then events 1 to 2 arrive, and the connection is cut

  Scenario Outline: Requests that are refused without a run
    When "<path>" is requested with key "<key>"
    Then the answer is <status> and nothing ran

    Examples:
      | path     | key   | status |
      | /notes/x | wrong | 401    |
      | /other/x | key-1 | 404    |

  Scenario: A plain call and its target
    When "/cards/a%20b?q=1%2F2" is requested with key "key-1"
    Then the answer is 200, and the upstream got the target unchanged

  Scenario: A non-idempotent call that an upstream refuses without running it
    Given one plain replica refuses
    When "/orders/x" is requested 4 times with key "key-1"
    Then every answer is 200 and each call ran once

  Scenario: The caller leaves in the middle of a stream
    # Guards against an engine that keeps working after the caller has left.
    Given streams of 500 events
    When a stream is requested with key "key-1" and closed after 0.3 s
    Then the engine's connection is closed within 1 s
