Feature: An error that nobody thought of leaves a host serving

  Scenario: A message that a host's actor can't handle
    # Symptom: a host answers no request any more, though its process runs.
    # Cause: an exception ends an actor whose message nobody waits for.
    Given a host's desk whose broker fails on the next answer
    When an answer comes, and then a request
    Then the request is started
    And the failed step is logged with its cause

  Scenario: A request that can't be decided on
    # Symptom: a caller waits until its deadline for a decision that failed.
    Given a host's desk whose broker fails on the next arrival
    When a request comes, and then another
    Then the first one gets its final answer at once, which promises nothing
    And the second one is started

  Scenario: A request that a router can't decide on
    Given a router's traffic whose dispatcher fails on the next arrival
    When a request comes to the router
    Then the first one gets its final answer at once, which promises nothing

  Scenario: A feed whose sink fails
    # Symptom: a host never hears of the list again. Sequence: one value makes
    # the thread raise that hands changes on; it ends.
    Given a feed whose sink fails once, in the middle of changes
    When it runs until the sink was given a whole
    Then the failed step is logged with its cause

  Scenario Outline: A thread whose step fails
    Given <thread> whose first step fails
    When it runs for a while
    Then later steps were made
    And the failed step is logged with its cause

    Examples:
      | thread          |
      | the duty        |
      | the watch       |
      | the prober      |
      | the keeper      |
      | the exchange    |
