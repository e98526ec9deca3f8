Feature: A host keeps serving after an unexpected error

  Scenario: A message that a host's actor can't handle
    # Failure: a host answers no more requests although its process runs.
    # Cause: an exception from a message without a waiting sender ends the actor.
    Given a host's desk whose broker fails on the next answer
    When an answer comes, and then a request
    Then the request is started
    And the failed step is logged with its cause

  Scenario: A request whose decision fails at a host
    # Failure: a caller waits until its deadline for a decision that failed.
    Given a host's desk whose broker fails on the next arrival
    When a request comes, and then another
    Then the first one gets its final answer at once, without a "not run" promise
    And the second one is started

  Scenario: A request whose decision fails at a router
    Given a router's traffic whose dispatcher fails on the next arrival
    When a request comes to the router
    Then the first one gets its final answer at once, without a "not run" promise

  Scenario: A feed whose sink fails
    # Failure: a host gets no more changes of the list. Cause: one value raises an
    # exception that ends the thread which passes changes on.
    Given a feed whose sink fails once, in the middle of changes
    When it runs until the sink has received a snapshot
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

  Scenario Outline: A thread that reads fails beside its steps
    # Guards against a host that never hears of a change again, though its
    # process runs and other hosts count it as alive.
    Given <thread> whose first step fails
    When it runs for a while
    Then later steps were made
    And the failed step is logged with its cause

    Examples:
      | thread                             |
      | the receiver                       |
      | a feed that asks how often to read |
      | a feed that notes an answer        |
