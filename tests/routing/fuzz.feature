@fuzz
Feature: Requests under any order of events and failures

  Scenario: Routers keep the promises in seeded histories
    # Symptom: wrong, doubled or missing tokens, two answers, a false "not
    # run". Sequence: any mix of crossed, late, repeated and lost events,
    # deaths, restarts, leaving marks and time. Cause: whichever guard is
    # missing; each was broken once by hand to see it caught.
    When the routing machine runs 250 histories of 60 steps
    Then the oracle found nothing
