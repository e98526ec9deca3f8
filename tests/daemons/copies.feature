Feature: A host whose store comes back from an older copy

  Scenario: A key that was taken away, and a host that starts meanwhile
    # Symptom: a key that was taken away is let in again. Sequence: the store
    # loses the configuration without it; the operator has not written it again.
    Given a store, four engines, two plain replicas and a host
    When a configuration without key "key-1" is written
    Then within 4 s "/cards/x" with key "key-1" is answered 401
    When the store comes back from a copy of 60 s ago
    Then for 3 s "/cards/x" with key "key-1" is answered 401
    When another host starts
    Then within 6 s it answers "/cards/x" with key "key-2" 200
    And it answers "/cards/x" with key "key-1" 401
    And the host tells of the copy in one line, and of the store's era

  Scenario: An upstream that left
    # Symptom: requests go to an upstream that was gone. Sequence: the store
    # loses its removal.
    Given a store, four engines, two plain replicas and a host
    When an upstream leaves
    Then within 4 s no request reaches it
    When the store comes back from a copy of 60 s ago
    Then for 3 s no request reaches it
