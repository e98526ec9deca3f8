Feature: Upstreams that set a backoff, or leave

  Scenario Outline: One replica refuses requests and sets a backoff
    # Guards against a host that still sends requests during a backoff, and
    # against refusals while other replicas have free capacity.
    Given 8 hosts before three plain replicas
    When one refuses all requests with a backoff of <rest> s
    And 45 requests a second arrive for 8 s
    Then no host sends it anything during its backoff
    And all requests are answered or run

    Examples:
      | rest |
      | 3    |
      | 0.8  |
      | 30   |

  Scenario: All replicas set a backoff
    # Guards against a Retry-After that ends before the backoffs do.
    Given 8 hosts before three plain replicas
    When all refuse all requests with a backoff of 3 s
    And 45 requests a second arrive for 6 s
    Then no host sends it anything during its backoff
    And those refused during a backoff get a Retry-After beyond it

  Scenario: A replica whose backoff is over
    # Guards against a recovered replica that gets no requests any more.
    Given 8 hosts before three plain replicas
    When one refuses all requests with a backoff of 3 s
    And 45 requests a second arrive for 4 s
    And it accepts requests again
    And 45 requests a second arrive for 8 s
    Then it gets its share in the last 3 s

  Scenario: The first engine of a path sets a backoff
    # Guards against an engine that still gets requests, or parts of them,
    # during its backoff.
    Given 8 hosts before a chain of engines in each data centre
    When the first engine of a data centre sets a backoff of 3 s
    And 12 streams a second arrive for 8 s
    Then no host sends it anything during its backoff
    And all requests are answered or run

  Scenario: A replica restarts during its backoff
    # Guards against a backoff that outlives the process that set it.
    Given 8 hosts before three plain replicas
    When one refuses all requests with a backoff of 30 s
    And 45 requests a second arrive for 4 s
    And that replica restarts during its backoff
    And 45 requests a second arrive for 3 s
    Then the restarted replica gets its share

  Scenario: A replica announces in its answers that it leaves
    # Guards against requests to a leaving replica whose entry still says ready.
    Given 8 hosts before three plain replicas
    When one announces in its answers that it leaves
    And 45 requests a second arrive for 6 s
    Then no host sends it anything later than 2 s after the announcement
    And all requests are answered or run
