Feature: A host whose store is replaced by an older copy

  Scenario: A revoked key, and a host that starts after the store was replaced
    # Guards against accepting a revoked key again: the copy lacks the
    # configuration without the key, and no operator has written it again.
    Given a store, four engines, two plain replicas and a host
    When a configuration without key "key-1" is written
    Then within 4 s "/cards/x" with key "key-1" is answered 401
    When the store comes back from a copy of 60 s ago
    Then for 3 s "/cards/x" with key "key-1" is answered 401
    When another host starts
    Then within 6 s it answers "/cards/x" with key "key-2" 200
    And it answers "/cards/x" with key "key-1" 401
    And the host logs the copy in one line, and its metrics show the store's era

  Scenario: An upstream that left
    # Guards against sending requests to an upstream that has left: the copy
    # lacks the removal of its entry.
    Given a store, four engines, two plain replicas and a host
    When an upstream leaves
    Then within 4 s the host knows that it left, and no request reaches it
    When the store comes back from a copy of 60 s ago
    Then for 3 s no request reaches it
