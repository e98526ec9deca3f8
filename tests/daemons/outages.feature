Feature: A host on the platform while the store is away or forgets

  Background:
    Given a store, four engines, two plain replicas and a host

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
