Feature: What callers are told, and work that nobody waits for

  Scenario: A caller that is gone has its work cancelled at every stage
    # Symptom: engines full of work for callers that left. Sequence: a caller
    # closes its connection mid-answer. Cause: stages that are not told.
    Given a data centre with two chains of two engines in force
    When a caller reads 10 tokens of 4000 and closes its connection
    Then within 5 s no engine works on anything
    And some first stage was told to cancel

  Scenario: Nothing can have started the request
    # Symptom: a caller repeats nothing although it could. Sequence: every
    # engine's process is gone before the request. Cause: one kind of error
    # for all failures.
    Given a data centre with two chains of two engines in force
    When all engines are killed
    And a caller asks for 5 tokens
    Then the caller is refused and told that it was not run

  Scenario: A request that may have started is not called "not run"
    # Symptom: a caller repeats what was already at work. Sequence: engines
    # take the request and say nothing. Cause: a time-out taken for a refusal.
    Given a data centre with two chains of two engines in force
    When all engines have fault "hang" set to true
    And a caller asks for 5 tokens
    Then the caller is refused and not told that it was not run

  Scenario: Streams that something in between forgot go on elsewhere
    # Symptom: an answer stops for good although all engines are well.
    # Sequence: a middlebox forgets the open connections to one chain.
    # Cause: no bound on the silence between two events.
    Given a data centre whose engines are behind middleboxes
    When a caller reads 10 tokens of 400 and the middlebox of its last stage forgets
    Then the answer is whole and in order

  Scenario: Pooled connections that something in between forgot are replaced
    # Symptom: one call after the other is lost on connections that are dead.
    # Sequence: a middlebox forgets its open connections, one call is lost on
    # one of them, then many come at once; new connections work. Cause: a pool
    # that outlives one of its connections' silence.
    Given a plain service behind a middlebox
    When 8 orders at once have filled the pool
    And the middlebox of the service forgets and one order is lost
    Then 8 orders at once are all answered

  Scenario Outline: Bad input gets a clear error
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
