Feature: Load of the links between data centres

  Scenario Outline: All requests of the fleet want one link
    # Guards against a link whose queue outlasts the callers: hosts hear of each
    # other's starts late and all go on sending.
    Given <hosts> hosts whose requests take <transfer> s of a link each
    And <wanted> times as many requests as the link carries
    When 15 s pass, with updates each 0.25 s and 1 in 20 of them lost
    Then from second 5 on 19 of 20 transfers wait less than 0.5 s
    And the link is busy at least 0.55 of that time

    Examples:
      | hosts | transfer | wanted |
      | 8     | 0.007    | 6      |
      | 8     | 0.04     | 2      |
      | 60    | 0.04     | 6      |
      | 195   | 0.04     | 3      |

  Scenario: A link with capacity to spare
    # Guards against a slow start that refuses what the link could carry.
    Given 8 hosts whose requests take 0.007 s of a link each
    And 0.5 times as many requests as the link carries
    When 15 s pass, with updates each 0.25 s and 1 in 20 of them lost
    Then no request is kept off the link

  Scenario: Only a path over a full link is left
    # Guards against paths over a full link: they hold memory on all engines of
    # a working path and bring nothing.
    Given a host of kl-hall before engines "kl-hall:0-40 pg-hall:40-80"
    When another host has put 3 s of transfers on the link to pg-hall
    Then the host's state shows 3 s on that link
    And of 40 requests in 4 s at most 4 find a path
    When engine "kl-hall:40-80" is added
    Then requests find paths within kl-hall

  Scenario: A full fleet waits beside an idle link
    # Guards against all hosts crossing at the full rate at once, when memory
    # comes free behind a link that they have only considered for seconds.
    Given 60 hosts whose requests take 0.04 s of a link each
    Then after 10 s of looking at the idle link a host may start 0.11 s a second
    When two verdicts on its directions come together
    Then its rate is halved once

  Scenario: The speaker of another data centre changes
    # Guards against counting the same transfers twice.
    Given a host of kl-hall before engines "kl-hall:0-40 pg-hall:40-80"
    When two speakers of pg-hall in turn report 0.5 s on that link
    Then the load of that link is 0.5 s
