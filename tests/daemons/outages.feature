Feature: A host process while the store is down or loses history

  Background:
    Given a store, four engines, two plain replicas and a host

  Scenario: The store is down for a while
    Given the store is down
    Then for 2 s streams with key "key-1" are answered
    When the store is back and an upstream leaves
    # Two seconds of grace for entries that lapsed, and one for the next read.
    Then within 4 s no request reaches it

  Scenario: The store drops history
    # Guards against using an upstream that has left: the store dropped the
    # removal from its history before the host read it.
    Given the store keeps 1 record of history
    When 20 records are written and an upstream leaves
    Then within 3 s no request reaches it

  Scenario: A host that starts while the store is down
    # Guards against a restarted host that refuses all requests until the store
    # is back.
    Given the store is down
    When another host starts
    Then within 5 s it answers streams with key "key-1"
