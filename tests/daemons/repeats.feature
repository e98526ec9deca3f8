Feature: Callers of a host that may repeat nothing

  Scenario: A run is cut before its first event, beside a new configuration
    # Symptom: callers on kept connections see them close without an answer.
    # Sequence: an engine breaks off, and the retry budget is empty.
    Given a site whose host may repeat nothing
    When a caller asks 6 times on one connection, each run is cut
    And a new configuration comes after the third
    Then each answer is a whole 502, and the connection was kept
