Feature: A leaving upstream gets no new work

  Scenario: An engine reports that it leaves long before the platform's list
    # Guards against failed requests on an engine that reported that it is
    # leaving: routers rely only on the platform's list, which lags by minutes,
    # and ignore that the engine refuses a request as leaving.
    Given a data centre with two chains and two entry hosts
    When engine "r1-b" says that it is leaving
    And requests run at router 1 until it has noticed
    Then within 3 s both routers count "r1-b" as leaving
    And 6 requests at each router don't touch "r1-b"
    When engine "r1-b" is replaced by its next incarnation
    Then both routers use it again
