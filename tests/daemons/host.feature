Feature: A host on the platform, from its callers to its upstreams

  Background:
    Given a store, four engines, two plain replicas and a host

  Scenario: A stream
    When a stream is asked for with key "key-1"
    Then events 1 to 5 come, with the receipt of the engine
    And the engine got workspace "tailors", a path over all layers and no key

  Scenario: A stream whose engine breaks off
    # Symptom: an answer ends in the middle of an event.
    Given the first engine breaks off after 2 events
    When a stream is asked for with key "key-1"
    Then events 1 to 5 come, with the receipt of the engine

  Scenario: A stream whose engine breaks off, and the next one fails
    # Guards against an answer that looks whole and lacks its last events.
    Given the first engine breaks off after 2 events
    And engines fail whatever they are to go on with
    When a stream is asked for with key "key-1"
    Then events 1 to 2 come, and the connection is cut

  Scenario Outline: What is refused at once
    When "<path>" is asked for with key "<key>"
    Then the answer is <status> and nothing ran

    Examples:
      | path     | key   | status |
      | /notes/x | wrong | 401    |
      | /other/x | key-1 | 404    |

  Scenario: A plain call and its target
    When "/cards/a%20b?q=1%2F2" is asked for with key "key-1"
    Then the answer is 200, and the target came as it was sent

  Scenario: A call that may not be repeated and is refused unrun
    Given one plain replica refuses
    When "/orders/x" is asked for 4 times with key "key-1"
    Then every answer is 200 and each call ran once

  Scenario: The caller leaves in the middle of a stream
    # Symptom: an engine works for a caller that is gone.
    Given streams of 500 events
    When a stream is asked for with key "key-1" and left after 0.3 s
    Then the engine's connection is closed within 1 s
