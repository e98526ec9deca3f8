Feature: Time that an upstream is handed for a retry

  Scenario Outline: <count> answers within <usual> s, others within <times> s, <left> s left
    # Guards against an upstream that works on a retry when its caller has gone,
    # and against one that ends it while the caller waits.
    Given an upstream that lately answered within <times> s
    And <count> answers within <usual> s since
    When a retry is due whose caller waits for <left> s
    Then the upstream is handed <handed> s

    Examples: All were fast
      | count | usual | times | left | handed |
      | 12    | 0.05  | 0.2   | 1    | 1      |
      | 12    | 0.05  | 0.2   | 20   | 20     |
      | 12    | 0.05  | 0.2   | 0.06 | 0.06   |

    Examples: One was slow, so it may have been read late
      | count | usual | times | left | handed |
      | 12    | 0.05  | 0.9   | 1    | 0.15   |
      | 12    | 0.05  | 1.13  | 1    | 0.12   |
      | 12    | 0.05  | 1.3   | 1    | no     |
      | 12    | 0.05  | 1.3   | 2.5  | 0.15   |
      | 12    | 0.05  | 2.2   | 2.5  | 0.15   |
      | 12    | 0.05  | 2.7   | 2.5  | no     |

    Examples: They differ
      | count | usual | times              | left | handed |
      | 10    | 0.3   | 0.1, 0.2, 0.4      | 1    | 0.85   |
      | 10    | 0.5   | 0.1, 0.3, 0.8      | 2.5  | 1.5    |
      | 10    | 1.2   | 0.1, 0.6, 1.5, 2   | 5    | 3.25   |

    Examples: Little is known
      | count | usual | times | left | handed |
      | 2     | 0.04  | 0.04  | 1    | 0.125  |
      | 2     | 0.04  | 0.04  | 20   | 2.5    |
      | 2     | 0.2   | 0.2   | 1    | 0.6    |
      | 2     | 0.04  | 0.04  | 0.06 | 0.06   |

  Scenario: Another upstream of its service was slow
    # Guards against upstreams that read late and of which this host knows little.
    Given an upstream that lately answered within 0.05 s
    And 11 answers within 0.05 s since
    And another one of its service that answered within 0.9 s
    When a retry is due whose caller waits for 1 s
    Then the upstream is handed 0.15 s

  Scenario: Failures are fast and answers are not
    # Guards against a usual answer that is taken from failures.
    Given an upstream that lately answered within 0.4, 0.5, 0.6 s
    And 10 requests that it failed within 0.001 s
    When a retry is due whose caller waits for 2.5 s
    Then the upstream is handed 1.5 s

  Scenario: Answers take longer than before
    # Guards against an upstream that ends sound retries for as long as faster
    # answers from before outnumber the newer ones.
    Given an upstream that lately answered within 0.05 s
    And 12 answers within 0.05 s since
    And 6 answers within 0.3 s since
    When a retry is due whose caller waits for 2.5 s
    Then the upstream is handed 0.9 s

  Scenario Outline: Another host, of <place>, found it slow <age> s ago
    # Guards against hosts that each send retries to an upstream that reads late
    # until each has seen that itself.
    Given an upstream that lately answered within 0.05 s
    And 12 answers within 0.05 s since
    And another host of <place> that finds it slow, <slow> s, <age> s ago
    When a retry is due whose caller waits for 1 s
    Then the upstream is handed <handed> s
    And the slow ones that it tells its data centre are none
    And the slow ones that it tells other data centres are <told>

    Examples:
      | place   | slow | age | handed | told     |
      | kl-hall | 2    | 0.5 | no     | that one |
      | pg-hall | 2    | 0.5 | no     | none     |
      | kl-hall | 0.9 | 0.5 | 0.15   | that one |
      | kl-hall | 2    | 1   | 1      | none     |

  Scenario: An upstream that has not answered yet
    Given an upstream that lately answered within 0.05 s
    And a request that it has not answered for 1.3 s
    When a retry is due whose caller waits for 1 s
    Then the upstream is handed no s

  Scenario: An upstream that was slow for a moment
    # Guards against an upstream that gets no retries any more.
    Given an upstream that lately answered within 1.3 s
    And 16 answers within 0.05 s since
    When a retry is due whose caller waits for 1 s
    Then the upstream is handed 1 s

  Scenario: An upstream that did not answer while its caller waited
    # Guards against retries at an upstream that reads when callers have left.
    Given an upstream that lately answered within 0.05 s
    And 12 answers within 0.05 s since
    And 1 requests that it has not answered for 0.95 s, when their callers left
    When a retry is due whose caller waits for 1 s
    Then the upstream is handed no s
    When a retry is due whose caller waits for 2.5 s
    Then the upstream is handed 0.15 s
