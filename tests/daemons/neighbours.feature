Feature: Lists while the reader of a data centre stands still

  Scenario: The reader stands still after it has told of a newer list
    # Guards against a draining upstream that gets requests for too long: a host
    # that knows nothing newer is asked before the store, and its answer counts.
    Given a host that follows the list beside a reader and a neighbour
    When the reader tells 1 s after an upstream drains that its list is newer, and stands still
    Then the host knows within 2 s of the store's word that the upstream drains

  Scenario: Another data centre has the newer list too
    # Guards against the same where a host that has the list is asked last.
    Given a host that follows the list beside a reader and a neighbour
    And another data centre whose reader has the newer list too
    When the reader tells 1 s after an upstream drains that its list is newer, and stands still
    Then the host knows within 2 s of the store's word that the upstream drains
