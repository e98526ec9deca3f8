Feature: Metrics of a host

  Scenario: Samples before the metrics are first read
    # Guards against a restarted host that answers its callers a fifth of a
    # second later, because it imports an unused metrics library at the start.
    Given the meters of a host that has just started
    When 3 requests are refused and the store answers once
    Then the metrics library is not loaded
    When the metrics are read
    Then they count 3 refusals and 1 call to the store
    When 2 requests are refused and the store answers once
    And the metrics are read
    Then they count 5 refusals and 2 calls to the store

  Scenario: Many samples while the metrics are not read
    # Guards against memory that grows for as long as the metrics are not read.
    Given the meters of a host that has just started
    When 5000 requests are refused and the store answers once
    Then fewer than 4096 samples are pending
    When the metrics are read
    Then they count 5000 refusals and 1 call to the store

  Scenario Outline: The duty of a thread
    Then the thread "<thread>" has the duty "<duty>"

    Examples:
      | thread             | duty          |
      | MainThread         | main          |
      | DeskActor-1 (loop) | decisions     |
      | waitress-17        | requests      |
      | probe_3            | probe         |
      | feed-upstreams     | feed-upstreams |

  Scenario: Processor time by duty
    When a thread named "busy-1" uses the processor
    Then more than half of the time since then is counted for "busy"
