Feature: Routing under failures and slow links

  Scenario: Half the upstreams fail
    # Symptom: a storm multiplied by its own retries. Sequence: half of the
    # upstreams break every attempt. Cause: retries without a budget.
    Given 8 upstreams of which 4 break every attempt
    When 1000 requests arrive at 100 a second
    Then attempts per request are at most 1.1

  Scenario: The first upstream to return is not run over
    # Symptom: an upstream that came back goes down again at once. Sequence:
    # seven of eight are busy, one returns idle. Cause: its emptiness makes it
    # the cheapest for everyone at the same moment.
    Given 8 upstreams with 6 requests each, one of which was down and is back
    When 40 requests arrive within 0.2 s
    Then the one that is back gets at most 8 of them
    And 5 s later it gets its share again

  Scenario: A link that degrades tenfold loses work and gets it back
    # Symptom: every second answer crawls. Sequence: the link between two
    # stages slows down tenfold; streams over it show it. Cause: choosing by
    # the stages alone.
    Given two chains of two stages of equal speed
    When streams over the link of the first chain take ten times as long for 3 s
    Then at most 5 in 100 choices go over that link
    And after 12 s without news at least 3 in 100 choices try that link
    When streams over it are as fast as before
    Then at least 15 in 100 choices go over that link

  Scenario Outline: Load reports fade
    Given an upstream that reported 10 others <age> s ago and has 2 of ours
    Then its load is estimated at <estimate>

    Examples:
      | age | estimate |
      | 0   | 12.0     |
      | 2   | 5.7      |
      | 20  | 2.0      |

  Scenario Outline: All routers together stay within an engine's limit
    # An engine in need is sent more than it takes, each router by itself or all.
    Given 8 routers before three chains of engines
    When the last stages of <chains> are down to 2.9 requests a second
    And the routers get 30 requests a second for 10 s
    Then none of these gets more than 22 requests in 4 s
    And <others>

    Examples:
      | chains | others                                            |
      | one    | nobody is refused                                 |
      | all    | others are told when their turn would have come   |

  Scenario: An engine's limit that it names no more
    # An engine that is well again goes on getting next to nothing.
    Given 8 routers before three chains of engines
    When the last stages of one are down to 2.9 requests a second
    And the routers get 30 requests a second for 6 s
    And the last stages name none any more
    And the routers get 30 requests a second for 3 s
    Then no router takes an engine for limited

  Scenario: An engine turns requests away and asks for rest
    # An engine that asked a router for rest goes on getting its requests.
    Given 8 routers before three chains of engines
    When the last stage of one turns all away and asks for 3 s of rest
    And the routers get 30 requests a second for 8 s
    Then no router sends it anything within its rest
    And nobody is refused

  Scenario: An engine tells in its answers that it leaves
    # An engine whose entry still says live is sent requests until it is gone.
    Given 8 routers before three chains of engines
    When the last stage of one tells in its answers that it leaves
    And the routers get 30 requests a second for 4 s
    Then none of its routers sends it anything in the last 2 s
    And nobody is refused
