Feature: Time for retries of requests whose answers vary

  Scenario: Health checks are answered while requests are not read
    # Guards against upstreams that work on retries whose callers have left, since
    # another thread answers their health checks.
    Given a site of 8 hosts and 3 plain replicas, with 60 requests a second and 200 retries allowed
    And callers that wait for 1 s
    When upstreams read nothing in waves
    Then few late retries are handed more time than is left
    And no window of a service has more retries than allowed

  Scenario Outline: <history>
    # Guards against retries that are ended while their callers wait, since
    # answers take longer than the time that upstreams are handed.
    Given a site of 3 hosts and 3 plain replicas, with 60 requests a second and 200 retries allowed
    And callers that wait for <timeouts> s
    When <history>
    Then few retries are ended while their callers wait
    And few late retries are handed more time than is left

    Examples:
      | history                                  | timeouts |
      | answers take up to 0.42 s and some fail  | 1        |
      | answers take up to 0.82 s and some fail  | 2.5      |
