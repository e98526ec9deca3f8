Feature: Processes that end under a request

  Scenario: A request that ends every engine
    # Symptom, sequence and cause: tests/routing/crashing.feature. Here with the
    # programs themselves, and a caller that goes from host to host.
    Given a store, four engines, two plain replicas and three hosts
    And engines that end as they begin to run a request that holds "stone"
    When such a request comes to the hosts in turn until three engines ended
    And it comes 6 times more, after 3 s
    Then at most 3 more engines ended
    And each host answers other streams

  Scenario: All hosts are killed, and find it in the store
    Given a store, four engines, two plain replicas and three hosts
    And engines that end as they begin to run a request that holds "stone"
    When such a request comes to the hosts in turn until three engines ended
    And the store has it in quarantine
    And all hosts are killed and start again
    And it comes 3 times more, after 0 s
    Then at most 0 more engines ended
