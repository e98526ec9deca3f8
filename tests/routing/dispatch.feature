Feature: Routing under failures and slow links

  Scenario: Half the upstreams fail
    # Guards against a retry storm: half of the upstreams break every attempt,
    # and retries without a budget multiply the load.
    Given 8 upstreams of which 4 break every attempt
    When 1000 requests arrive at 100 a second
    Then attempts per request are at most 1.1

  Scenario: A recovered upstream is not overloaded
    # Guards against an upstream that fails again as soon as it recovers: it is
    # idle while the other seven of eight are busy, so that all routers choose
    # it as the cheapest at the same moment.
    Given 8 upstreams with 6 requests each, one of which has just recovered
    When 40 requests arrive within 0.2 s
    Then the recovered one gets at most 8 of them
    And 5 s later it gets its share again

  Scenario: A link that slows down tenfold loses its work and regains it
    # Guards against half of the answers being slow: the link between two stages
    # slows down tenfold, and paths are chosen by the load of stages alone.
    Given two chains of two stages of equal speed
    When streams over the link of the first chain take ten times as long for 3 s
    Then at most 5 in 100 choices go over that link
    And after 12 s without samples at least 3 in 100 choices go over that link
    When streams over it are as fast as before
    Then at least 15 in 100 choices go over that link

  Scenario Outline: Load reports decay
    Given an upstream that reported 10 requests of others <age> s ago and runs 2 of ours
    Then its load is estimated at <estimate>

    Examples:
      | age | estimate |
      | 0   | 12.0     |
      | 2   | 5.7      |
      | 20  | 2.0      |

  Scenario Outline: All routers together stay within an engine's limit
    # Guards against an engine that gets more requests than its rate limit allows,
    # from one router or from all together.
    Given 8 routers before three chains of engines
    When the last stages of <chains> set a limit of 2.9 requests a second
    And the routers get 30 requests a second for 10 s
    Then none of these gets more than 22 requests in 4 s
    And <others>

    Examples:
      | chains | others                                            |
      | one    | nobody is refused                                 |
      | all    | others are told when their turn would have come   |

  Scenario: An engine lifts its limit
    # Guards against a recovered engine that gets hardly any requests.
    Given 8 routers before three chains of engines
    When the last stages of one set a limit of 2.9 requests a second
    And the routers get 30 requests a second for 6 s
    And the last stages lift their limits
    And the routers get 30 requests a second for 3 s
    Then no router treats an engine as limited

  Scenario: An engine refuses requests and asks for a backoff
    # Guards against a router that ignores an engine's backoff.
    Given 8 routers before three chains of engines
    When the last stage of one refuses all requests and asks for a backoff of 3 s
    And the routers get 30 requests a second for 8 s
    Then no router sends it a request within its backoff
    And nobody is refused

  Scenario: An engine reports in its answers that it is leaving
    # Guards against requests to an engine that the platform still lists as live.
    Given 8 routers before three chains of engines
    When the last stage of one reports in its answers that it is leaving
    And the routers get 30 requests a second for 4 s
    Then no router sends it a request in the last 2 s
    And nobody is refused
