@alone
Feature: Configurations against a store from the platform's page alone

  Scenario: Troubles of hosts and of the store, in series and overlapping
    # Guards against hosts that nothing disturbs and that go on serving an older
    # configuration, or go back to one.
    When seed 7 is played for 25 s by eight hosts of three data centres
    Then no host in touch serves an older configuration after 2 s
    And each host answered 50 times or more

  Scenario: Answers that only an older version allows
    # Guards against a play that is green since it judges nothing.
    Given versions of which the second one adds a route, acknowledged at 10 s
    When a host answers 404 for that route to a request sent at 11.9 s
    And another one answers 404 to a request sent at 12.1 s
    Then the first answer keeps the rule and the second one breaks it
    And the second one keeps it if the host stood still until 9.2 s

  Scenario: A host that goes back to an older version
    # Guards against a play that does not see a host regress.
    Given versions of which the second one adds a route, acknowledged at 10 s
    When a host runs a request for that route at 10.5 s
    And the same host answers 404 to a request sent at 11 s
    Then the second answer breaks the rule
