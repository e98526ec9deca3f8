Feature: Operation of a host process, from its start to its stop

  Background:
    Given a store, four engines, two plain replicas and a host

  Scenario: A key is revoked
    When a configuration without key "key-1" is written
    Then within 2 s "/notes/x" with key "key-1" is answered 401

  Scenario: A stop while a stream runs
    # Guards against a stop that cuts answers, or starts some that it must cut.
    Given streams of 60 events
    When a stream is requested with key "key-1" and the host is stopped during it
    Then the host is not ready within 0.5 s
    And all 60 events arrive
    And a request late in the stop is refused as not run
    And the host ends by itself within 8 s

  Scenario: A stop while a stream runs that lasts longer than the grace period
    # Guards against a process that the platform kills at the end of the grace
    # period, because it waits for threads of streams that only end when their
    # connections are closed, and closes these after the wait.
    Given streams of 2000 events
    When a stream is requested with key "key-1" and the host is stopped during it
    Then the host ends by itself within 8 s

  Scenario: Metrics and state for operators
    When a stream is requested with key "key-1"
    Then the metrics count 1 started request
    And they show "egretspur_decisions_total" of "request_answered"
    And they show "egretspur_first_event_seconds_count" of ""
    And they show "egretspur_store_call_seconds_count" of ""
    And the state dump names the four engines

  Scenario Outline: The settings change
    # Guards against a host that loses contact with all others: its seeds are
    # replaced in the settings file, and no signal is sent to the process.
    When the settings are changed <how>
    Then within 3 s the log says "reloaded" with "<problem>"
    And for 0.3 s streams with key "key-1" are answered

    Examples:
      | how                      | problem          |
      | and it gets SIGHUP       |                  |
      | without a signal         |                  |
      | to something broken      | missing or wrong |
