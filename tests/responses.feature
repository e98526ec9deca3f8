Feature: Responses that are complete only if all of them came

  Scenario Outline: Responses that break off anywhere
    # Guards against a response that broke off and is taken for a complete one:
    # within a head, for example, the rest of which would tell its length.
    When <reader> reads responses that break off anywhere, 1500 times
    Then all that it takes as complete came whole, and all that came whole

    Examples:
      | reader                              |
      | the client of callers' requests     |
      | the client of calls among processes |

  Scenario Outline: Responses that do not tell where they end
    # Guards against a response that is read to the end of its connection, or
    # as empty, since its framing is not understood.
    When an upstream sends "<head>" and a body that ends with its connection
    Then it is taken as "<outcome>"

    Examples:
      | head                                                | outcome |
      | Content-Length: 2                                   | 200 ok  |
      | Content-Length: 2\nContent-Length: 2                | 200 ok  |
      | Content-Length: 2, 2                                | 200 ok  |
      | X-Other: 1                                          | 200 ok  |
      | Content-Type: multipart/mixed                       | 200 ok  |
      | Content-Length:                                     | cut     |
      | Content-Length: two                                 | cut     |
      | Content-Length: -2                                  | cut     |
      | Content-Length: +2                                  | cut     |
      | Content-Length: 0_2                                 | cut     |
      | Content-Length: 2\nContent-Length: 1                | cut     |
      | Content-Length: 99999999999999999999999999          | cut     |
      | Transfer-Encoding:                                  | cut     |
      | Transfer-Encoding: chunke                           | cut     |
      | Transfer-Encoding: gzip, chunked                    | cut     |
      | Transfer-Encoding: chunked                          | cut     |
      | X-Other                                             | cut     |
      | X-Other\nContent-Length: 2                          | cut     |

  Scenario Outline: Chunks whose size is no number
    When an upstream sends chunks "<chunks>"
    Then it is taken as "<outcome>"

    Examples:
      | chunks                                  | outcome |
      | 2\nok\n0\n\n                            | 200 ok  |
      | 2;a="b"\nok\n0;c\nX-Trailer: 1\n\n      | 200 ok  |
      | 2 \nok\n000\n\n                         | 200 ok  |
      | 0x2\nok\n0\n\n                          | cut     |
      | +2\nok\n0\n\n                           | cut     |
      | -2\nok\n0\n\n                           | cut     |
      | 2\nok\n\n                               | cut     |
      | 2\nok\n0\nX-Trailer: 1                  | cut     |
      | fffffffffffffffffff\nok\n0\n\n          | cut     |

  Scenario Outline: First lines of responses
    # Guards against a status that is none, and a switch of the protocol that
    # nobody asked for, which callers get as an answer.
    When <reader> reads a response that begins with "<line>"
    Then it takes it as "<status>"

    Examples: a response without a status is none
      | reader                              | line                             | status |
      | the client of callers' requests     | HTTP/1.1 200 OK                  | 200    |
      | the client of callers' requests     | HTTP/1.0 200 OK                  | 200    |
      | the client of callers' requests     | HTTP/1.1 200                     | 200    |
      | the client of callers' requests     | HTTP/1.1 200 All is well         | 200    |
      | the client of callers' requests     | HTTP/1.1 404 Not Found           | 404    |
      | the client of callers' requests     | HTTP/1.1 599 No                  | 599    |
      | the client of callers' requests     | HTTP/1.1 000 OK                  | none   |
      | the client of callers' requests     | HTTP/1.1 0 OK                    | none   |
      | the client of callers' requests     | HTTP/1.1 099 OK                  | none   |
      | the client of callers' requests     | HTTP/1.1 20 OK                   | none   |
      | the client of callers' requests     | HTTP/1.1 0200 OK                 | none   |
      | the client of callers' requests     | HTTP/1.1 1000 OK                 | none   |
      | the client of callers' requests     | HTTP/1.1 +20 OK                  | none   |
      | the client of callers' requests     | HTTP/1.1 2_0 OK                  | none   |
      | the client of callers' requests     | HTTP/1.1 20x OK                  | none   |
      | the client of callers' requests     | HTTP/1.1 +200 OK                 | none   |
      | the client of callers' requests     | HTTP/1.1 2_00 OK                 | none   |
      | the client of callers' requests     | HTTP/1.1 OK                      | none   |
      | the client of callers' requests     | HTTP/1.1  200 OK                 | none   |
      | the client of callers' requests     | HTTP/0.9 200 OK                  | none   |
      | the client of callers' requests     | HTTP/2.0 200 OK                  | none   |
      | the client of callers' requests     | HTTP/1.1x 200 OK                 | none   |
      | the client of callers' requests     | HTTP/1.1 101 Switching Protocols | none   |
      | the client of callers' requests     | HTTP/1.1 600 Odd                 | none   |
      | the client of callers' requests     | HTTP/1.1 999 Odd                 | none   |
      | the client of calls among processes | HTTP/1.1 200 OK                  | 200    |
      | the client of calls among processes | HTTP/1.1 000 OK                  | none   |
      | the client of calls among processes | HTTP/1.1 101 Switching Protocols | none   |
      | the client of calls among processes | HTTP/1.1 999 Odd                 | none   |
      | a helper                            | HTTP/1.1 200 OK                  | 200    |
      | a helper                            | HTTP/1.1 000 OK                  | none   |
      | a helper                            | HTTP/1.1 2_00 OK                 | none   |
      | a helper                            | HTTP/1.1 999 Odd                 | none   |
      | a helper                            | what is this                     | none   |

  Scenario Outline: Interim responses
    When an upstream sends an interim response of status <status> first
    Then it is taken as "200 ok"

    Examples:
      | status |
      | 100    |
      | 102    |
      | 103    |

  Scenario Outline: Responses that go on without end
    # Guards against a read that outlives its deadline, or its request, because
    # bytes that are no answer keep coming.
    When <reader> reads responses that go on without end, 40 times, and <end>
    Then each of them has ended

    Examples:
      | reader                              | end                   |
      | the client of callers' requests     | their deadline passes |
      | the client of callers' requests     | their callers leave   |
      | the client of calls among processes | their deadline passes |
      | the client of engines               | their deadline passes |

  Scenario: Interim responses, and silence between them
    # Guards against a sound upstream that is cut for the time it takes.
    When an upstream sends an interim response, and 3.5 s later the final one
    Then it is taken as "200 ok"
