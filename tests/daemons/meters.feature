Feature: Figures of a host

  Scenario: Figures that nobody has asked for yet
    # Symptom: a host that starts again answers its callers a fifth of a second
    # later, for a library that nobody uses there. Cause: it was loaded first.
    Given the meters of a host that has just started
    When 3 requests are refused and the store answers once
    Then the library for figures is not loaded
    When the figures are asked for
    Then they count 3 refusals and 1 call to the store
    When 2 requests are refused and the store answers once
    And the figures are asked for
    Then they count 5 refusals and 2 calls to the store

  Scenario: Many figures that nobody asks for
    # Symptom: the memory of a host grows for as long as nobody asks.
    Given the meters of a host that has just started
    When 5000 requests are refused and the store answers once
    Then fewer than 4096 figures wait
    When the figures are asked for
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
    Then more than half of the time since then is told for "busy"
