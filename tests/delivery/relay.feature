Feature: Relaying an answer through the pump

  Scenario Outline: The long silence limit ends with the first token
    # Guards against the prefill's limit being kept for the first gap after it:
    # a stage that falls silent after the first token then stalls the answer
    # for seconds.
    Given an attempt that has delivered <tokens> tokens
    When its stream is handed to the pump
    Then its silence limit is <bound> s

    Examples:
      | tokens | bound |
      | 0      | 5     |
      | 1      | 2     |

  Scenario Outline: A silent attempt
    # Guards against a begun answer that is ended though its engines are only
    # slow and there is no other path.
    Given an attempt that has delivered 1 tokens
    And <others> that could replace it
    When its stream is silent 3 times and then goes on to its end
    Then the answer is <outcome>

    Examples:
      | others     | outcome                   |
      | no path    | whole after one attempt   |
      | a path     | whole after two attempts  |

  Scenario: The caller of a silent attempt leaves
    Given an attempt that has delivered 1 tokens
    And no path that could replace it
    When its stream is silent until its caller leaves
    Then the request ends as one whose caller left, and is logged so

  Scenario: An answer that is completely buffered
    # Guards against a pump that sleeps for ever while marked busy, which under
    # load happened once in dozens of runs: an answer arrives completely with
    # its headers and ends before the pump sleeps. If the pump has marked itself
    # busy before that, the next answer does not wake it.
    Given a pump that has read an answer completely buffered beforehand
    When it is handed an answer that arrives later
    Then that answer is forwarded as well

  Scenario: An answer ends without an end event, together with its tokens
    # Guards against a connection that is reused while the pump still reads the
    # previous answer from it, which ends the pump's thread.
    Given an engine whose answer ends without its end event
    When the pump reads the last tokens together with the end of the body
    Then the attempt ends at once, and the caller has all tokens
    And the next answer of that engine is forwarded

  Scenario: An engine reads a long prompt after the head of its answer
    # Guards against a sound engine that is cut while it reads a prompt, since the
    # wait for its first token is bounded by that for later ones.
    Given an engine that begins to answer, and writes its first token 3.5 s later
    When a router reads it that waits 8 s for the first token, and 0.1 s for others
    Then it has the token

  Scenario: A connection that the pump can't register
    # Guards against the failure of one answer stalling all others.
    Given a pump that was handed an answer whose connection is closed
    When it is handed an answer that arrives later
    Then that answer is forwarded as well
