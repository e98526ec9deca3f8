@fuzz
Feature: Plain replicas that read late, on several hosts

  Scenario: Retries stay within all limits while replicas read late
    # Guards against retries that upstreams work on for longer than their callers
    # wait, and against more of them than allowed.
    When the late machine runs 8 histories of 10 steps
    Then the oracle found nothing

  Scenario: Answers turn slow at once, and callers come faster
    # Guards against retries that are ended while their callers wait, since their
    # time follows answers that were fast until then.
    When answers turn from fast to up to 2 s at 100 requests a second
    Then all limits on retries hold
