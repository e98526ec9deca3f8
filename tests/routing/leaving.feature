Feature: A leaving upstream gets no new work

  Scenario: The engine says so long before the platform's list
    # Symptom: requests break on a host that said it was leaving. Sequence:
    # the list lags by minutes; the engine refuses one request as leaving.
    # Cause: routers that believe only the list.
    Given a data centre with two chains and two entry hosts
    When engine "r1-b" says that it is leaving
    And requests run at router 1 until it has noticed
    Then within 3 s both routers count "r1-b" as leaving
    And 6 requests at each router don't touch "r1-b"
    When engine "r1-b" is replaced by its next incarnation
    Then both routers use it again
