Feature: Begun answers at a router of the product

  Scenario Outline: The upstreams of a begun answer end its attempts
    # Guards against an answer that is given up since upstreams that are gone by
    # now count among its attempts.
    Given a router with 9 upstreams and an answer that has begun
    When its attempt breaks 7 times, and each of its upstreams <fate>
    Then the answer is <outcome>

    Examples:
      | fate               | outcome   |
      | is gone by then    | resumed   |
      | answers others     | given up  |

  Scenario: A begun answer that is broken again and again
    # Guards against a loop of attempts.
    Given a router with 9 upstreams and an answer that has begun
    When its attempts break for 3 s without any token
    Then at most 16 attempts were made, and others start meanwhile

  Scenario Outline: A silent attempt, as the router knows its upstreams
    Given a router with <count> upstreams and an answer that has begun
    And <state>
    Then its silent attempt <may> be replaced

    Examples:
      | count | state                     | may     |
      | 2     | all of them are well      | may     |
      | 1     | all of them are well      | may not |
      | 1     | its upstream is down      | may     |
      | 1     | its upstream is leaving   | may     |
