Feature: Engines that answer with errors are ejected

  Scenario: An engine fails all requests while its probes are good
    # Guards against an engine that fails at once, looks idle for that reason and
    # attracts the requests of all hosts.
    Given a chain of engines with memory for about 45000 tokens
    And a twin of its first engine
    When 2 requests in a row get an error from "a100-0"
    Then the next 6 requests start at "a100-twin"
    And the other hosts are told to avoid "a100-0"
    When 0.6 s pass and a request gets an error from "a100-0"
    Then "a100-0" is ejected for 1 s
    When 1.1 s pass and a request is answered by "a100-0"
    Then one error from "a100-0" does not eject it

  Scenario: Most engines answer with errors
    # Guards against ejecting the last engines when the requests are at fault.
    Given 9 engines that hold all layers, of which 6 answer only errors
    When each of them has answered 3 requests
    Then 3 of them are ejected
