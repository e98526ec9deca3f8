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

  Scenario: A key is taken away
    When a configuration without key "key-1" is written
    Then within 2 s "/notes/x" with key "key-1" is answered 401

  Scenario: The store goes away
    Given the store is down
    Then for 2 s streams with key "key-1" are answered
    When the store is back and an upstream leaves
    # Two seconds for entries that lapsed, and one for the next read.
    Then within 4 s no request reaches it

  Scenario: The history is forgotten
    # Symptom: an upstream that left stays in use. Sequence: its removal was
    # dropped from the history before it was read.
    Given the store keeps 1 record of history
    When 20 records are written and an upstream leaves
    Then within 3 s no request reaches it

  Scenario: A host that starts while the store is away
    # Symptom: a restarted host refuses everyone until the store is back.
    Given the store is down
    When another host starts
    Then within 5 s it answers streams with key "key-1"

  Scenario: A stop while a stream runs
    # Symptom: a stop cuts answers, or begins some that it must cut.
    Given streams of 60 events
    When a stream is asked for with key "key-1" and the host is stopped meanwhile
    Then the host is not ready within 0.5 s
    And all 60 events come
    And a request late in the stop is refused as not run
    And the host ends by itself within 8 s

  Scenario: What operators can ask for
    When a stream is asked for with key "key-1"
    Then the metrics count 1 started request
    And they show "egretspur_decisions_total" of "request_answered"
    And they show "egretspur_first_event_seconds_count" of ""
    And they show "egretspur_store_call_seconds_count" of ""
    And the state dump names the four engines
