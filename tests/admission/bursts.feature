Feature: The retry budget when it shrinks

  Scenario Outline: A burst of callers ends while upstreams fail
    # Guards against loans of a time with more requests that hosts keep after it.
    Given <hosts> hosts in 3 data centres, and upstreams that fail
    When <factor> times as many callers send from 8 s to 18 s
    Then no window has more retries than all hosts together may send
    And the worst window has at least half of them

    Examples:
      | hosts | factor |
      | 15    | 5      |
      | 61    | 5      |
      | 9     | 20     |
