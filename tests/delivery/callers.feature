Feature: Refusals, and cancellation of work that no caller waits for

  Scenario: A disconnected caller's work is cancelled at every stage
    # Guards against engines that keep working for disconnected callers, if the
    # cancellation is not sent to every stage.
    Given a data centre with two chains of two engines in force
    When a caller reads 10 tokens of 4000 and closes its connection
    Then within 5 s no engine has a running request
    And some first stage has received a cancellation

  Scenario: No engine can have started the request
    # Guards against one kind of error for all failures, with which a caller
    # does not retry although it could: all engine processes ended before the
    # request was sent.
    Given a data centre with two chains of two engines in force
    When all engines are killed
    And a caller asks for 5 tokens
    Then the caller is refused and told that it was not run

  Scenario: A request that may have started is not called "not run"
    # Guards against a time-out treated as a refusal, after which the caller
    # retries a request that runs: engines accept it and do not respond.
    Given a data centre with two chains of two engines in force
    When all engines have fault "hang" set to true
    And a caller asks for 5 tokens
    Then the caller is refused and not told that it was not run

  Scenario: Streams over forgotten connections resume on another path
    # Guards against an answer that hangs although all engines work: without a
    # limit on the gap between two events, connections that a middlebox has
    # dropped are never noticed.
    Given a data centre whose engines are behind middleboxes
    When a caller reads 10 tokens of 400 and the middlebox of its last stage forgets
    Then the answer is whole and in order

  Scenario: Forgotten connections in the pool are replaced
    # Guards against a pool that is kept after one of its connections went
    # silent, so that each dead connection loses another call: a middlebox
    # drops its open connections, one call is lost, then many are sent at once.
    # New connections work.
    Given a plain service behind a middlebox
    When 8 orders at once have filled the pool
    And the middlebox of the service forgets and one order is lost
    Then 8 orders at once are all answered

  Scenario Outline: Invalid input is refused with a clear error
    Given a data centre with two chains of two engines in force
    When a caller sends the body <body> with workspace "<workspace>"
    Then the caller gets status <status> with "<text>"

    Examples:
      | body                                         | workspace | status | text             |
      | {                                            | grooms    | 400    | not JSON         |
      | {"model": 1, "prompt": "x"}                  | grooms    | 400    | must be a string |
      | {"model": "m", "prompt": "x"}                | grooms    | 404    | No confirmed     |
      | {"model": "m", "prompt": "x", "max_tokens":0} | grooms   | 400    | at least 1       |
      | {"model": "m", "prompt": "x"}                |           | 400    | X-Workspace      |
