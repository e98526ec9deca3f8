@fuzz
Feature: Plain replicas that read late, on several hosts

  Scenario: Retries stay within all limits while replicas read late
    # Guards against retries that upstreams work on for longer than their callers
    # wait, and against more of them than allowed.
    When the late machine runs 8 histories of 10 steps
    Then the oracle found nothing
