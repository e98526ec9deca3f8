@alone
Feature: Waits for a configuration that are never answered

  Scenario: The store does not answer the readers for a moment
    # Guards against hosts that go on serving an older configuration for the
    # whole wait of the hosts that read it, since these still read the list.
    When seed 400 is played for 50 s by eight hosts of three data centres, with "readers-blink" alone
    Then no host in touch serves an older configuration after 2 s
    And each host answered 50 times or more
