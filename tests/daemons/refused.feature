Feature: Requests that upstreams refuse

  Scenario Outline: <history>
    # Guards against requests that are sent to more upstreams than their route
    # allows, since those that refused them don't count.
    Given a site of 3 hosts and 3 plain replicas, with 60 requests a second and 200 retries allowed
    When <history>
    Then no window of a service has more retries than allowed
    And no request reaches more upstreams than allowed

    Examples:
      | history                                         |
      | upstreams refuse a few requests                 |
      | upstreams refuse, misdirect and reset requests  |
