Feature: Shutting down cuts nothing off

  Scenario: SIGTERM with streams open
    # Symptom: answers cut at every restart. Sequence: streams are open, the
    # balancer still sends for a while, keep-alive connections stay. Cause:
    # stopping before the last answer, or refusing before the balancer knows.
    Given a data centre with two chains of two engines in force
    When 3 callers read long answers and the router is told to stop
    Then a new request right after is served and told to close
    And the router is not ready
    And all long answers are whole
    And the router exits with code 0

  Scenario: SIGTERM while the balancer still sends
    # Symptom: refused connections at every restart. Sequence: nothing is in
    # flight, the router is told to stop, the balancer has not noticed yet.
    # Cause: stopping as soon as nothing is in flight.
    Given a data centre with two chains of two engines in force
    When the router is told to stop with nothing in flight
    Then a new request right after is served and told to close
    And the router exits with code 0
