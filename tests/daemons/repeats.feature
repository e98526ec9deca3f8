Feature: A host whose retry budget is empty

  Scenario: Runs are cut before their first event as the configuration changes
    # Guards against kept connections that are closed without an answer, when an
    # engine closes its connection and the retry budget is empty.
    Given a site whose host has an empty retry budget
    When a caller sends 6 requests on one connection, and each run is cut
    And a new configuration comes after the third
    Then each answer is a complete 502, and the connection was kept
