Feature: Requests that upstreams read long after their end

  Scenario Outline: <history>
    # Guards against more retries than allowed, since upstreams that read nothing
    # for a while read requests that hosts ended, or that ended with their host.
    Given a site of 3 hosts, with 36 requests a second and 20 retries allowed
    When <history>
    Then no window of a service has more retries than allowed
    And no request reaches more upstreams than allowed

    Examples:
      | history                                          |
      | upstreams read nothing for long                  |
      | all hosts are killed while upstreams read nothing |
      | all hosts are killed while upstreams stop        |
