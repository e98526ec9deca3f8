Feature: Time that upstreams are handed for retries

  Scenario Outline: <history>, <timeouts> s
    # Guards against upstreams that work on retries whose callers have left.
    Given a site of 3 hosts and 3 plain replicas, with 60 requests a second and 200 retries allowed
    And callers that wait for <timeouts> s
    When <history>
    Then few late retries are handed more time than is left
    And no window of a service has more retries than allowed
    And no request reaches more upstreams than allowed

    Examples:
      | history                           | timeouts |
      | upstreams stop in waves           | 1        |
      | upstreams read some requests late | 1        |
      | upstreams read some requests late | 2.5      |
