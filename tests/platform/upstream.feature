Feature: Responses of upstreams

  Scenario Outline: A response of a plain service
    # Guards against a 500 for a valid response that ends with its connection,
    # and against a truncated response that is taken as complete.
    When an upstream answers with "<bytes>" and then <end>
    Then it is taken as "<outcome>"

    Examples: \n is a line break of the head, ID is the request's id
      | bytes                                                                     | end    | outcome       |
      | HTTP/1.1 200 OK\nAttempt-Id: ID\nReplica-Signature: s\nContent-Length: 2\n\nok | closes | 200 ok        |
      | HTTP/1.1 200 OK\nAttempt-Id: ID\nReplica-Signature: s\nConnection: close\nContent-Length: 2\n\nok | closes | 200 ok |
      | HTTP/1.1 200 OK\nAttempt-Id: ID\nReplica-Signature: s\n\nok               | closes | 200 ok        |
      | HTTP/1.1 200 OK\nAttempt-Id: ID\nReplica-Signature: s\n\nok               | resets | cut           |
      | HTTP/1.1 200 OK\nAttempt-Id: ID\nReplica-Signature: s\nContent-Length: 9\n\nok | closes | cut           |
      | HTTP/1.1 500 Oh\nAttempt-Id: ID\nReplica-Signature: s\nContent-Length: 2\n\nno | closes | 500 no        |
      | HTTP/1.1 200 OK\nAttempt-Id: other\nReplica-Signature: s\nContent-Length: 2\n\nok | closes | cut         |
      | HTTP/1.1 200 OK\nAttempt-Id: ID\nContent-Length: 2\n\nok                  | closes | failed        |
      | HTTP/1.1 503 No\nNot-Executed: 1\nContent-Length: 0\n\n                   | closes | refused       |
      | HTTP/1.1 421 No\nReplica-Id: i-2\nContent-Length: 0\n\n                   | closes | misdirected   |
      | what is this\n                                                           | closes | cut           |
      | HTTP/1.1 200 OK\nAttempt-Id: ID\nReplica-Signature: s\n\n | closes | cut |
      | HTTP/1.1 200 OK\nAttempt-Id: ID\nReplica-Signature: s\nTransfer-Enco | closes | cut |
      | HTTP/1.1 200 OK\nAttempt-Id: ID\nReplica-Signature: s\nContent-Length: 2 | closes | cut |
      | HTTP/1.1 200 OK\nAttempt-Id: ID\nReplica-Signature: s\nContent-Length: 0\n\n | closes | 200  |
      | HTTP/1.1 200 OK\nAttempt-Id: ID\nReplica-Signature: s\nTransfer-Encoding: chunked\n\n2\nok\n0\n\n | closes | 200 ok |
      | HTTP/1.1 200 OK\nAttempt-Id: ID\nReplica-Signature: s\nTransfer-Encoding: chunked\n\n2\nok\n | closes | cut |
      | HTTP/1.1 200 OK\nAttempt-Id: ID\nReplica-Signature: s\nTransfer-Encoding: chunked\n\n9\nok | closes | cut |
      | HTTP/1.1 200 OK\nAttempt-Id: ID\nReplica-Signature: s\nContent-Length: 2\n\nokHTTP/1.1 200 OK\n\n | closes | 200 ok |
      |                                                                          | closes | cut           |
      |                                                                          | waits  | cut           |

  Scenario: A port without listener
    When an upstream's port has no listener
    Then it is taken as "unreachable"

  Scenario: A request that follows a health check
    # Guards against a request that is written to an upstream which reads nothing.
    When a request that needs a check is sent to an upstream that reads nothing
    Then it is taken as "unresponsive" within 1 s
    And nothing but the check was written to it

  Scenario: The time that an upstream is handed
    # Guards against an upstream that works for as long as its caller waits,
    # though less is granted, and against a check that uses the time up.
    When a request that is granted 0.5 s follows a check to an upstream
    Then the upstream receives a deadline of 500 ms

  Scenario: The stage that is at fault
    When an upstream answers with "HTTP/1.1 503 No\nNot-Executed: 1\nAt-Server: b:80\nContent-Length: 0\n\n" and then closes
    Then it is taken as "refused"
    And stage "b" is at fault

  Scenario: The header fields of a request to an upstream
    When an upstream answers with "HTTP/1.1 200 OK\nAttempt-Id: ID\nReplica-Signature: s\nContent-Length: 2\n\nok" and then closes
    Then it received the unchanged target, its own id, the workspace and the time left

  Scenario Outline: The priority that an upstream receives
    # Guards against a caller that raises its own priority at engines, and
    # against a priority that engines do not know.
    When a request of priority <priority>, whose caller states 0, is sent to <kind>
    Then the upstream receives the priority "<received>"

    Examples:
      | priority | kind            | received |
      | 3        | an engine       | 3        |
      | 12       | an engine       | 9        |
      | 3        | a plain service | none     |

  Scenario: The caller disconnects before the response's head
    When the request to a silent upstream is aborted after 0.2 s
    Then it is taken as "cut" within 1 s

  Scenario Outline: Who ended an attempt
    # Guards against logs in which a time-out of the host's own and a reset by
    # the upstream read alike.
    When an upstream answers with "<bytes>" and then <end>
    Then it was ended by the "<ender>"

    Examples:
      | bytes                                                                          | end    | ender    |
      | HTTP/1.1 200 OK\nAttempt-Id: ID\nReplica-Signature: s\nContent-Length: 9\n\nok | closes | upstream |
      | HTTP/1.1 200 OK\nAttempt-Id: ID\nReplica-Signature: s\nContent-Length: 9\n\nok | resets | upstream |
      | HTTP/1.1 200 OK\nAttempt-Id: ID\nReplica-Signature: s\nContent-Length: 9\n\nok | waits  | host     |
      |                                                                                | closes | upstream |
      |                                                                                | waits  | host     |

  Scenario: Who ended an attempt over a dead link
    When a read fails since the other side acknowledges nothing
    Then it was ended by the "network"

  Scenario: Who ended an attempt whose helper was killed
    When an upstream answers with "HTTP/1.1 200 OK\nAttempt-Id: ID\nReplica-Signature: s\n\nok" through a helper that is killed
    Then it is taken as "cut"
    And it was ended by the "helper"

  Scenario: Who ended an attempt that the host aborts
    When the request to a silent upstream is aborted after 0.2 s
    Then it was ended by the "host"

  Scenario: The host ends a response without a length
    # Guards against an answer that looks complete since the host itself closed
    # the connection with which it would have ended.
    When the host ends a response that began with "HTTP/1.1 200 OK\nAttempt-Id: ID\nReplica-Signature: s\n\nok"
    Then it is taken as "cut"
    And it was ended by the "host"

  Scenario Outline: A rate limit in a response
    # An invalid value must neither end the limit in force nor block all
    # requests.
    When an upstream answers with "HTTP/1.1 503 No\nNot-Executed: 1\n<fields>Content-Length: 0\n\n" and then closes
    Then the hosts receive a limit of "<limit>"

    Examples:
      | fields                                   | limit      |
      | Server-Limit: 2.9\n                     | 2.9        |
      | Server-Limit: 0\n                       | 0.0        |
      | Server-Limit: .5\n                      | 0.5        |
      | server-limit:  3 \n                     | 3.0        |
      | Server-Limit: 4\nServer-Limit: 2.5\n   | 2.5        |
      | Server-Limit: 4, soon\n                 | 4.0        |
      | Server-Limit: soon\n                    | unreadable |
      | Server-Limit: -1\n                      | unreadable |
      | Server-Limit: inf\n                     | unreadable |
      | Server-Limit: nan\n                     | unreadable |
      | Server-Limit: 1e9\n                     | unreadable |
      | Server-Limit: 99999999999999999999999\n | unreadable |
      | Server-Limit:\n                         | unreadable |
      |                                          | None       |

  Scenario Outline: Backoff and leaving in a response
    # Signals of another upstream at the address must not count for this one.
    When an upstream answers with "HTTP/1.1 <head>\n<fields>Content-Length: 0\n\n" and then closes
    Then the hosts receive "<asked>"

    Examples:
      | head                    | fields                               | asked        |
      | 503 No\nNot-Executed: 1 | Retry-After: 3\n                     | rest 3.0     |
      | 503 No\nNot-Executed: 1 | Retry-After: 0.25\n                  | rest 0.25    |
      | 503 No\nNot-Executed: 1 | Retry-After: 1\nRetry-After: 4\n     | rest 4.0     |
      | 503 No\nNot-Executed: 1 | Retry-After: Fri, 31 Dec 1999\n      | unreadable   |
      | 429 No\nNot-Executed: 1 | Retry-After: 3\n                     | nothing      |
      | 503 No\nNot-Executed: 1 | Server-Leaving: 1\n                  | leaving      |
      | 503 No\nNot-Executed: 1 | Server-Leaving: 0\n                  | nothing      |
      | 421 No                  | Server-Leaving: 1\nServer-Limit: 1\n | not at all   |

  Scenario: A failed engine is probed while connections are kept to it
    # Guards against an engine that counts as back because a kept connection
    # lives on, though requests find no new one.
    When an engine is asked for its report, and then probed twice as failed
    Then both probes are answered over 3 connections

  Scenario Outline: An engine is probed twice
    # Guards against a new connection for each probe, and against a live engine
    # that is taken for dead because a kept connection was dropped.
    When an engine is probed, then its connection <state> and it is probed again after <seconds> s
    Then both probes are answered over <count> connections

    Examples:
      | state         | seconds | count |
      | stays open    | 0.0     | 1     |
      | stays open    | 1.1     | 2     |
      | falls silent  | 0.0     | 2     |
      | is closed     | 0.0     | 2     |
