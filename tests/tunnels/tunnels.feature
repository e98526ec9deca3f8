Feature: Connections to upstreams through other hosts

  Scenario Outline: How a host reaches upstreams, by what its connections show
    When connections end so: <outcomes>
    Then the host's links are <state>

    Examples:
      | outcomes                                  | state   |
      | a fails                                   | sound   |
      | a fails, a fails                          | sound   |
      | a fails, b fails                          | cut_off |
      | a fails, c connects, b fails              | sound   |
      | a fails, b fails, c connects              | sound   |
      | a fails, b fails, a is helped             | helped  |
      | a fails, b fails, a is helped, c connects | sound   |
      | a fails, a is helped, b fails             | helped  |
      | a fails, a is refuted, b fails            | sound   |
      | a fails, b fails, a is refuted            | sound   |
      | a fails, b fails, a is refuted, c fails   | cut_off |
      | a is refuted, a fails, b fails            | cut_off |
      | a fails, b fails, a is refuted, a is helped | helped |
      | a is in question, b is in question        | sound   |
      | a is in question, b is in question, a is decided, b is decided | cut_off |
      | a fails for another, b fails for another  | sound   |
      | a fails for another, b fails, c fails     | cut_off |

  Scenario Outline: Which connections go through a helper at once
    # Guards against a timeout of the own links before each helped connection.
    When connections end so: <outcomes>
    Then the next one to <upstream> <goes> through a helper at once

    Examples:
      | outcomes                                              | upstream | goes     |
      | a fails                                               | a        | does not |
      | a fails, a is helped                                  | a        | does     |
      | a fails, a is helped                                  | b        | does not |
      | a fails, b fails, a is helped                         | c        | does     |
      | a fails, a is helped, a is refuted                    | a        | does not |
      | a fails, b fails, a is helped, b connects             | a        | does not |

  Scenario Outline: Upstreams to try over the own links again
    When connections end so: <outcomes>
    Then the own links are checked with <due>

    Examples: of upstreams a, b and c
      | outcomes                      | due     |
      | a fails                       | nothing |
      | a fails, a is helped          | a       |
      | a fails, b fails              | a, b, c |
      | a fails, b fails, b is helped | a, b, c |
      | d fails, e fails              | nothing |

  Scenario: Hosts that are cut off share the helpers
    # Guards against one helper that gets the load of all hosts that are cut off.
    Given local hosts a, b, c and remote hosts x, y
    When 300 helpers are chosen
    Then a, b and c are chosen at least 60 times each, and no other

  Scenario: A helper that refuses
    Given local hosts a, b and remote hosts x, y
    When a refuses at 0 s
    Then helpers at 0.9 s are b
    And helpers at 1.1 s are a, b
    When a refuses at 1.1 s
    Then helpers at 3 s are b
    And helpers at 3.2 s are a, b
    When a helps
    And a refuses at 4 s
    Then helpers at 5.1 s are a, b

  Scenario: All helpers have refused
    # Guards against a host that asks nobody for seconds, after a time in which
    # all were cut off.
    Given local hosts a, b and remote hosts x
    When a refuses at 0 s
    And b refuses at 0 s
    And x refuses at 0 s
    Then helpers at 0.5 s are a, b, x

  Scenario: Fewer than half of the data centre's hosts help
    # Guards against one host that serves for a data centre that is cut off.
    Given local hosts a, b, c and remote hosts x, y
    When a refuses at 0 s
    And b refuses at 0 s
    Then helpers at 0.5 s are c, x, y

  Scenario: No local host
    Given no local hosts and remote hosts x, y
    Then helpers at 0 s are x, y

  Scenario: Bytes in both directions
    Given an upstream and a host that helps
    When another host is connected to it
    And 300000 bytes are sent each way
    Then they arrive unchanged

  Scenario: An upstream that closes after its answer
    Given an upstream and a host that helps
    When another host is connected to it
    And the upstream sends 100000 bytes and closes
    Then the other host reads 100000 bytes and the end

  Scenario Outline: What an upstream asks for in an answer that is passed on
    # Guards against a helper that goes on sending to an upstream which has
    # asked it for rest, in an answer to another host's request.
    Given an upstream and a host that helps
    When another host is connected to it
    And the upstream answers "<head>" in <parts> parts
    Then the helper learns <learnt>

    Examples:
      | head                             | parts | learnt              |
      | HTTP/1.1 503 x,Retry-After: 2.5  | 1     | a backoff of 2.5 s  |
      | HTTP/1.1 503 x,Retry-After: 2.5  | 3     | a backoff of 2.5 s  |
      | HTTP/1.1 200 x,Server-Limit: 4   | 1     | a limit of 4        |
      | HTTP/1.1 200 x,Server-Leaving: 1 | 1     | that it leaves      |
      | HTTP/1.1 200 x,Retry-After: 2.5  | 1     | nothing             |
      | HTTP/1.1 421 x,Server-Limit: 4   | 1     | nothing of it       |
      | no answer at all                 | 1     | nothing of it       |

  Scenario: An upstream that resets the connection
    # Guards against a broken answer that looks complete through a tunnel.
    Given an upstream and a host that helps
    When another host is connected to it
    And the upstream resets the connection
    Then the other host's connection is reset

  Scenario: The other host leaves
    # Guards against an upstream that goes on with work that nobody waits for.
    Given an upstream and a host that helps
    When another host is connected to it
    And the other host closes
    Then the upstream reads the end

  Scenario: An upstream that reads nothing
    # Guards against a helper whose memory fills with what is not read.
    Given an upstream and a host that helps
    When another host is connected to it
    And the other host sends all that is taken, and nothing is read
    Then the helper holds at most 400000 bytes

  Scenario Outline: The helper ends
    # Guards against an answer without a length that looks complete where it was
    # cut off with its helper.
    Given an upstream and a host that helps
    When another host is connected to it
    And the upstream sends <count> bytes
    And the helper <ends>
    Then the other host reads <count> bytes, and that its helper is lost
    And the upstream reads the end

    Examples:
      | ends      | count  |
      | ends      | 0      |
      | ends      | 100000 |
      | is killed | 0      |
      | is killed | 100000 |

  Scenario: The helper is killed after the upstream's end
    Given an upstream and a host that helps
    When another host is connected to it
    And the upstream sends 100000 bytes and closes
    And the helper is killed
    Then the other host reads 100000 bytes and the end

  Scenario: A helper of a version that does not tell how upstreams end
    Given an upstream and a host that helps
    When another host is connected to it by a helper without frames
    And the upstream sends 100000 bytes and closes
    Then the other host reads 100000 bytes, and that its helper is lost

  Scenario: A host of a version that does not ask how upstreams end
    Given an upstream and a host that helps
    When another host without frames is connected to it
    And the upstream sends 100000 bytes and closes
    Then the other host reads 100000 bytes and the end

  Scenario: Bytes through a helper, cut anywhere
    # Guards against a cut that falls between two frames, or within the length
    # of one, and is taken for the upstream's end.
    When bytes pass through a helper that ends anywhere, 300 times
    Then they end as complete only with the upstream's end

  Scenario Outline: Connections that a host does not open
    # Guards against a port that lets anyone reach upstreams, and against answers
    # that come too late for a caller.
    Given an upstream and a host that helps
    When a host asks, and <case>
    Then the host that asks is told "<reason>" within 0.3 s

    Examples:
      | case                                      | reason        |
      | it is unknown | refused |
      | the address is no upstream's | refused |
      | the helper is stopping                    | refused       |
      | the upstream's port is closed             | upstream down |
      | the upstream is dark                      | upstream down |
      | nobody listens on the helper's port       | unreachable   |
      | its question is malformed | refused |

  Scenario: The first helper is cut off as well
    Given hosts that help: one refuses, one connects
    When an upstream is dialled that the own links don't reach
    Then it is connected through the one that connects

  Scenario: No helper is left for a host that was helped
    # Guards against a host that waits for helpers though its links are back.
    Given hosts that help: one connects
    When an upstream is dialled that the own links don't reach
    And its helper refuses, and the own links are back
    Then the next connection goes over the own links

  Scenario Outline: Connections that open and bring nothing
    # Guards against a middlebox that accepts connections for which it has no
    # way: a host would take it for the way to all upstreams.
    Given own connections that open and are <own>, and helpers' that are <helped>
    When <event>
    And the links are checked
    Then by then the host's links are <state>
    When own connections are answered again
    And the links are checked
    Then by then the host's links are sound

    Examples:
      | own      | helped   | event                           | state  |
      | silent   | answered | two requests end with no answer | helped |
      | reset    | answered | two requests end with no answer | helped |
      | silent   | answered | an answer is overdue            | helped |
      | silent   | answered | one request ends with no answer | sound  |
      | silent   | silent   | two requests end with no answer | sound  |
      | answered | answered | two requests end with no answer | sound  |
      | answered | answered | an answer is overdue            | sound  |

  Scenario: The first helpers are cut off as well and do not know it
    # Guards against a host that refuses all its callers: a single check found no
    # helper that gets answers, and then no request was sent that would have had
    # the links checked again.
    Given own connections that open and are reset, and helpers' that are reset
    When two requests end with no answer
    And the links are checked
    And helpers' connections are answered
    And the links are checked
    Then by then the host's links are helped

  Scenario: Requests that wait on links which bring nothing
    Given own connections that open and are silent, and helpers' that are answered
    When an answer is overdue
    And the links are checked
    Then the request is ended, so that it may be retried
    And the host helps nobody

  Scenario: Upstreams that crash are not taken for lost links
    # Guards against a host that refuses its callers and helps nobody, since two
    # upstreams refused connections in a row.
    Given hosts that help: one fails, one fails
    When two upstreams are dialled that nobody reaches
    Then the host's links were sound throughout

  Scenario Outline: Helpers that do not reach an upstream either
    # Guards against one helper that is cut off itself and whose word is taken,
    # and against callers who wait while all helpers are asked of a dead one.
    Given hosts that help: <helpers>
    When an upstream is dialled <after>
    Then <asked> of them are asked, and it is unreachable

    Examples:
      | helpers                                | after                               | asked |
      | one fails, one fails, one fails        | that the own links don't reach      | 1     |
      | one fails, one fails, one fails        | while no other is reached           | 2     |
      | one refuses, one refuses, one refuses, one refuses | while no other is reached | 3   |
