Feature: Calls that must not be repeated

  Background:
    Given a data centre with a service and two entry hosts

  Scenario: The answer is lost and the service reports the outcome
    # Guards against an order that runs twice: the service runs the call, its
    # answer is lost, and the router sends the call again.
    When the service "desk" loses 1 answer
    And a caller sends order "o-1" to service "desk" at router 1
    Then the order is answered with its outcome
    And order "o-1" ran once

  Scenario: The answer is lost and the service can't report the outcome
    When the service "mute" loses 1 answer
    And a caller sends order "o-2" to service "mute" at router 1
    Then the order is answered "outcome_unknown" and may have run
    And order "o-2" ran once

  Scenario: The same id arrives at two entry hosts at once
    # Guards against a call that runs twice: a caller's request and its retry
    # reach two entry hosts at once, and each host decides alone.
    When 4 callers send order "o-3" to service "desk" at both routers at once
    Then order "o-3" ran once

  Scenario: The answer to the claim's append is lost
    When the log loses the answers to 2 appends
    And a caller sends order "o-4" to service "desk" at router 1
    Then the order is answered with its outcome
    And order "o-4" ran once

  Scenario: The entry host is replaced between two arrivals
    When a caller sends order "o-5" to service "mute" at router 1
    And entry host 1 is replaced
    And a caller sends order "o-5" to service "mute" at router 1
    Then the order is answered "already_claimed" and may have run
    And order "o-5" ran once

  Scenario: The log is unavailable
    When the log is down
    And a caller sends order "o-6" to service "desk" at router 1
    Then the order is answered "claims_unavailable" and did not run
    And order "o-6" ran 0 times

  Scenario: A call that may be repeated needs no log
    When the log is down
    And a caller reads from service "desk" at router 1
    Then the read is answered

  Scenario: A call without a caller's id needs no claim
    # No second call can arrive with an id that the router has generated.
    When the log is down
    And a caller sends an order without an id to service "desk" at router 1
    Then the order is answered with its outcome

  Scenario: A replica that sets a rate limit
    # Guards against an overloaded replica that gets more calls from all hosts
    # together than its limit.
    When the service "desk" names a limit of 2 a second
    And callers send 20 calls a second to service "desk" at both routers for 8 s
    Then it got at most 17 calls in any 4 s, after 3 s
    And the others are refused as "upstream_limited"
