Feature: Order in which data centres are searched for a path

  Background:
    Given engines of three data centres that hold the model, one copy each

  Scenario: A slow engine in the local data centre, and free capacity elsewhere
    # Guards against late answers of a whole data centre for nine seconds while
    # the others have capacity. An engine becomes twelve times slower, no other
    # local engine holds its layers, and the local path is used all the same.
    When "l4-4" of kl-hall becomes 12 times slower
    Then the path of a request is within another data centre

  Scenario: A slow engine that still answers on time
    When "l4-4" of kl-hall becomes 2 times slower
    Then the path of a request is within kl-hall

  Scenario: A slow engine, and no capacity elsewhere
    When "l4-4" of kl-hall becomes 12 times slower
    And the engines of the other data centres are full
    Then the path of a request is within kl-hall

  Scenario: A route without a limit for gaps
    When "l4-4" of kl-hall becomes 12 times slower
    Then the path of a request without a gap limit is within kl-hall

  Scenario: An engine that recovers its speed
    When "l4-4" of kl-hall becomes 12 times slower
    And its pace is normal again
    Then the path of a request is within kl-hall

  Scenario: A running request that has to leave an engine
    # Guards against gaps of a second or more after requests are rerouted. A
    # slow engine processes their tokens slowly, and to another data centre the
    # tokens cross a shared link; a retry there sends only the text.
    When "l4-4" of kl-hall becomes 12 times slower
    And a request that runs in kl-hall has to leave "l40s-1"
    Then it is to be resumed within another data centre
