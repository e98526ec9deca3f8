Feature: Requests of killed hosts that upstreams read later

  Scenario Outline: <history>, with engines that hold all layers
    # Guards against more retries than allowed, since the processes of killed hosts
    # had sent requests that upstreams read once new ones have their whole share.
    Given a site of 8 hosts and 8 engines that hold all layers, with 90 requests a second and 30 retries allowed
    When <history>
    Then no window of a service has more retries than allowed
    And no request reaches more upstreams than allowed

    Examples:
      | history                                           |
      | all hosts are killed while upstreams read nothing |
      | all hosts are killed once upstreams read nothing  |
