Feature: Where a host sends requests while upstreams answer nothing

  Scenario Outline: One of two upstreams answers nothing
    # Guards against requests that go on to an upstream which reads nothing: they
    # are lost for their callers, and read when nobody counts them any more.
    Given a chain of engines and two plain replicas
    And a twin of its first engine
    When <count> requests of kind "<kind>" are sent to one of the two, which answers none
    And 2 s pass in which the other one answers 20 requests
    Then at most 3 of these went to the silent one
    When a request fails at the other one
    Then it is not sent to the silent one
    When the silent one answers what it was sent
    Then it gets requests again

    Examples:
      | kind       | count |
      | idempotent | 1     |
      | idempotent | 4     |
      | streaming  | 1     |

  Scenario: A plain replica that answers nothing is probed
    # Guards against a replica that stands still and is not found out before a
    # caller's deadline.
    Given a chain of engines and two plain replicas
    When 1 requests of kind "idempotent" are sent to one of the two, which answers none
    Then it is probed within 1.5 s

  Scenario: A replica that has not answered for a moment
    # Guards against a retry that a replica which reads no requests, and answers
    # health checks, reads much later.
    Given a chain of engines and two plain replicas
    When 1 requests of kind "idempotent" are sent to one of the two, which answers none
    And 0.4 s go by at the host
    And a request fails at the other one
    Then it is not sent to the silent one

  Scenario: A replica that does not answer a health check gets no retry
    # Guards against a retry that a replica which stands still reads later, and
    # against a retry of the budget that is used up by a check.
    Given a chain of engines and two plain replicas
    When a request of kind "idempotent" fails and the retry's replica does not answer a check
    Then the retry goes to the other replica, after a check of that one
    And one retry is taken from the budget
