@alone
Feature: Clients that do not behave

  Scenario Outline: Many clients <way> at the <address> address
    # Guards against a host that runs out of memory or of descriptors, or serves
    # nobody any more, since clients outside the limits, or many inside them at
    # once, make it hold what they send.
    Given a host with low limits
    When <count> clients <way> at its <address> address, and stay
    Then an ordinary request is answered beside them, and after they have left
    And the host lives, within the memory and descriptors of its machine

    Examples:
      | count | way                                                | address       |
      | 100   | announce bodies far over the limit                 | frontend      |
      | 100   | send chunks far over the limit                     | frontend      |
      | 100   | send all of a legal body but its last byte         | frontend      |
      | 100   | send a legal body in pieces but its last byte      | frontend      |
      | 100   | send a legal body in large chunks but its last one | frontend      |
      | 100   | send a legal body in tiny chunks but its last one  | frontend      |
      | 100   | send the line of a chunk without end               | frontend      |
      | 100   | send trailers without end                          | frontend      |
      | 100   | send empty lines instead of chunks                 | frontend      |
      | 100   | send whole legal bodies and read no answer         | frontend      |
      | 100   | ask for large answers and read none                | frontend      |
      | 450   | send half a head                                   | frontend      |
      | 100   | send all of a legal body but its last byte         | ready         |
      | 100   | send all of a legal body but its last byte         | control_plane |

  Scenario Outline: <count> clients send <size> bytes each in chunks of one byte
    # Guards against a host that answers nobody in time, since chunks of one byte
    # keep the thread busy that reads all connections.
    Given a host with usual limits
    When <count> clients send <size> bytes each in chunks of one byte
    Then ordinary requests beside them are answered within their time
    And one sent after they have left is answered within 3 s

    Examples:
      | count | size    |
      | 200   | 3670016 |
      | 600   | 400000  |

  Scenario: 600 clients begin bodies in chunks of one byte, leave and come again
    # Guards against a host that answers no request with a body in chunks, since
    # each client that comes anew has a long turn.
    Given a host with usual limits
    When 600 clients begin bodies in chunks of one byte, leave and come again
    Then ordinary requests beside them are answered within their time
    And one sent after they have left is answered within 3 s

  Scenario Outline: One caller sends a body of <size> bytes <how>
    # Guards against a body at the limit itself that is refused in calm.
    Given a host with low limits
    When one caller sends a body of <size> bytes <how>
    Then it is served, and the replica has got all of it

    Examples:
      | size           | how                                |
      | max_body_bytes | at once                            |
      | max_body_bytes | slowly                             |
      | max_body_bytes | after Expect                       |
      | max_body_bytes | in large chunks                    |
      | max_body_bytes | in tiny chunks                     |
      | max_body_bytes | in large chunks and with a trailer |

  Scenario Outline: One caller sends one byte more than the limit <how>
    # Guards against a body over the limit that is taken.
    Given a host with low limits
    When one caller sends a body of one more bytes <how>
    Then it gets 413

    Examples:
      | how             |
      | in large chunks |
      | in tiny chunks  |
