Feature: What shows that upstreams read requests

  Scenario: A retry is left unanswered after its health check
    # Guards against retries that upstreams read when their callers have gone,
    # since another thread answers their health checks.
    Given upstreams "a b c" that answered requests 0.5 s ago
    When "a" leaves a retry unanswered for 0.6 s after a health check
    And "b" fails a request
    Then a retry may go to "b"
    And the log names "a"

  Scenario: Upstreams answer checks and requests
    Given upstreams "a b c" that answered requests 0.5 s ago
    When "a" leaves a retry unanswered for 0.4 s after a health check
    Then a retry may go to "a b c"

  Scenario: Answers take long
    # Guards against health checks that are distrusted since answers are slow.
    Given upstreams "a b c" that answered requests 0.5 s ago
    And answers that took 1 s
    When "a" leaves a retry unanswered for 1.5 s after a health check
    Then a retry may go to "a b c"

  Scenario: Checks are trusted again after a while
    Given upstreams "a b c" that answered requests 0.5 s ago
    When "a" leaves a retry unanswered for 0.6 s after a health check
    Then a retry may go to ""
    When it is read, and more than a minute passes
    Then a retry may go to "a b c"
