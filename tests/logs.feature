Feature: Logs of decisions

  Scenario: The reader of the log stalls
    # Failure: a host stalls. Sequence: the reader of its standard output stops,
    # the pipe fills, and a request waits for its log line to be written.
    Given a log into a pipe that nobody reads
    When 20000 lines are logged
    Then none of them took longer than 0.5 s and lines were dropped

  Scenario: Routine lines are dropped first
    Given a log that holds 10 lines and whose writer is blocked
    When 8 routine lines, 6 lines of failures and 4 routine lines are logged
    And the writer resumes
    Then all 6 lines of failures are written
    And 8 lines are counted as dropped, by kind

  Scenario: All kinds of events
    Then each kind has a name of its own and a page that describes its fields
    And each kind is written as one JSON object with its fields
