Feature: Reading callers' requests

  Scenario Outline: A body <form> costs in proportion to its length
    # Guards against a server that serves nobody, since reading one body costs
    # time that grows faster than the body.
    When a body <form> is read, and one 8 times as long
    Then the longer one costs at most 24 times as much processor time

    Examples:
      | form                                  |
      | in chunks of one byte, read at once   |
      | with a long chunk line, read in parts |
      | with long trailers, read in parts     |

  Scenario Outline: Requests in chunks on one connection, sent <how>
    # Guards against requests that are lost or mixed up, since a body waits for
    # its turn to be read while more has come behind it.
    Given a server that answers with the body
    When 4 requests with bodies of 1 to 3000 chunks of one byte are sent <how>
    Then each is answered with its own body, in order

    Examples:
      | how                     |
      | at once                 |
      | in parts of 1000 bytes  |
      | in parts of 7 bytes     |

  Scenario: A body in one chunk beside many bodies in small ones
    # Guards against a body in chunks of the usual size that waits until those in
    # many small ones are read.
    Given 600 readers with turns of 3 ms, which have each had one
    When a reader comes that needs 3 turns
    Then it has had them after 2 rounds, none longer than 14 ms
