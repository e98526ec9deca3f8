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

  Scenario Outline: Two bursts of callers come nearly a window apart
    # Guards against a host that counts more requests than there are in any of the
    # windows by which its retries are judged.
    Given <hosts> hosts in 3 data centres, and upstreams that fail
    When <factor> times as many callers send from 5 s to 7 s, and 12 s to 14 s
    Then no window has more retries than all hosts together may send
    And the worst window has at least half of them

    Examples:
      | hosts | factor |
      | 15    | 10     |
      | 61    | 20     |

  Scenario: Random requests
    # Guards against a wrong count of the requests by which retries are judged.
    When requests come at random
    Then those that count at worst are the fewest by which any window is judged

  @fuzz
  Scenario: Random loads
    When loads change at random while upstreams fail
    Then no window of any history has more retries than may be sent
