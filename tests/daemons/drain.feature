Feature: Graceful shutdown of a router

  Scenario: SIGTERM with streams open
    # Guards against answers that are cut at every restart. Streams are open,
    # the load balancer still sends for a while, and keep-alive connections
    # stay open: the router must neither stop before the last answer nor refuse
    # requests before the balancer has noticed.
    Given a data centre with two chains of two engines in force
    When 3 callers read long answers and the router is told to stop
    Then a new request right after is served and told to close
    And the router is not ready
    And all long answers are whole
    And the router exits with code 0

  Scenario: SIGTERM while the load balancer still sends
    # Guards against connections that are refused at every restart, because the
    # router stops as soon as nothing is in flight although the load balancer
    # has not noticed yet.
    Given a data centre with two chains of two engines in force
    When the router is told to stop with nothing in flight
    Then a new request right after is served and told to close
    And the router exits with code 0
