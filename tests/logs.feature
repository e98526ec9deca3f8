Feature: Logs of decisions

  Scenario: Nobody reads the log
    # Symptom: a host stands still. Sequence: whoever reads its standard output
    # stops; the pipe fills; a request waits for its log line to be written.
    Given a log into a pipe that nobody reads
    When 20000 lines are logged
    Then none of them took longer than 0.5 s and lines were dropped

  Scenario: What is dropped first
    Given a log that holds 10 lines and whose writer is held up
    When 8 routine lines, 6 lines of failures and 4 routine lines are logged
    And the writer goes on
    Then all 6 lines of failures are written
    And 8 lines are counted as dropped, by kind

  Scenario: Every kind of line
    Then each kind has a name of its own and a page that describes its fields
    And each kind is written as one JSON object with its fields
