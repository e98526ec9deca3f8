@fuzz
Feature: Requests under any order of events and failures

  Scenario: Routers keep their guarantees in seeded random histories
    # Guards against wrong, duplicate or missing tokens, two answers, and a
    # false "not run", under any mix of crossed, late, repeated and lost events,
    # deaths, restarts, leaving marks and time. Each check was seen to fail with
    # its safeguard in the code removed.
    When the routing machine runs 250 histories of 60 steps
    Then the oracle found nothing
