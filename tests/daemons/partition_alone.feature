Feature: Hosts and routers that are cut off from all upstreams, alone or not

  Scenario Outline: A host that is cut off and has no peer
    # Guards against callers that wait for what can't come, and against kept
    # connections that are taken for a way to the upstreams.
    Given a site of 1 host, with 10 requests a second for each
    When host 1 is cut off from all upstreams for 5 s: <how>
    Then first tries at host 1 from 2 s after the cut began are refused within 0.3 s
    And the host was not ready from 2 s after the cut began
    And no request that must not be repeated ran twice
    And first tries at all hosts are served from 3 s after its end

    Examples:
      | how    |
      | silent |
      | kept   |

  Scenario Outline: A router of the product's own interface is cut off
    # Guards against a router that refuses all requests while the others reach
    # all engines and services.
    Given a model in force at two routers, and a plain service
    When the first router is cut off from all engines and services: <how>
    Then its callers get 10 answers and 10 replies from 3 s after the cut began
    And the other's callers get 10 answers and 10 replies
    When the cut ends
    Then it reaches engines by itself within 3 s

    Examples:
      | how    |
      | silent |
      | reset  |
      | kept   |
