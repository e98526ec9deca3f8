Feature: Engine processes that crash under a request

  Scenario: A request that crashes every engine
    # Runs the failure of tests/routing/crashing.feature with whole processes,
    # and with a caller that retries on one host after another.
    Given a store, four engines, two plain replicas and three hosts
    And engines that crash when they start a request that contains "stone"
    When such a request is sent to the hosts in turn until three engines crashed
    And it is sent 6 more times, after 3 s
    Then at most 3 more engines crashed
    And each host answers other streams

  Scenario: Killed hosts read the quarantine from the store
    Given a store, four engines, two plain replicas and three hosts
    And engines that crash when they start a request that contains "stone"
    When such a request is sent to the hosts in turn until three engines crashed
    And the store has it in quarantine
    And all hosts are killed and start again
    And it is sent 3 more times, after 0 s
    Then at most 0 more engines crashed

  Scenario: Different requests that share a segment of their prompts
    # Runs the failure of tests/routing/segments.feature with whole processes.
    Given a store, four engines, two plain replicas and three hosts
    And engines that crash after the head of an answer to prompts with the segment "bad5"
    When requests with it, no two alike, are sent to the hosts 12 times
    Then at most 5 engines crashed by then, and at least 3
    When it is sent 6 more times, after 3 s
    Then at most 3 more engines crashed
    And each host answers other streams
    When the store has it in quarantine
    And all hosts are killed and start again
    And it is sent 3 more times, after 0 s
    Then at most 0 more engines crashed

  Scenario: Different requests that share a segment, and engines that crash after two events
    # Runs the failure of "Engines that bring some output before they crash" in
    # tests/routing/segments.feature with whole processes.
    Given a store, four engines, two plain replicas and three hosts
    And engines that crash after 2 events of an answer to prompts with the segment "bad5"
    And bodies are sent in chunks
    When requests with it, no two alike, are sent to the hosts 12 times
    Then at most 8 engines crashed by then, and at least 3
    When it is sent 6 more times, after 3 s
    Then at most 3 more engines crashed
    And each host answers other streams
    When the store has it in quarantine
    And all hosts are killed and start again
    And it is sent 3 more times, after 0 s
    Then at most 0 more engines crashed

  Scenario Outline: A request that crashes engines after <count> events of an answer with <end>
    # Guards against a request that goes on crashing engines, since its answer
    # looks complete where it ends with the connection of a crashed engine.
    Given a store, four engines, two plain replicas and three hosts
    And engines that crash after <count> events of an answer with <end> to a request that contains "stone"
    When such a request is sent to the hosts in turn until three engines crashed
    And it is sent 6 more times, after 3 s
    Then at most 3 more engines crashed
    And each host answers other streams

    Examples:
      | count | end       |
      | 2     | chunks    |
      | 2     | no length |

  Scenario: Different requests that share a segment, and answers without a length
    # The same with requests of which no two are alike.
    Given a store, four engines, two plain replicas and three hosts
    And engines that crash after 2 events of an answer to prompts with the segment "bad5"
    And answers have no length, and crashes end them without a reset
    When requests with it, no two alike, are sent to the hosts 12 times
    Then at most 8 engines crashed by then, and at least 3
    When it is sent 6 more times, after 3 s
    Then at most 3 more engines crashed
    And each host answers other streams
