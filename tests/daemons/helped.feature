Feature: Answers that other hosts pass on

  Scenario Outline: A host that passes on another host's streams <ends>
    # Guards against streams without a length that end early as complete, since
    # the end of the helper's connection is taken for the engine's.
    Given a site of 3 hosts that pass on the streams of the first, <framing>
    When host 2 <ends> while streams run
    Then no stream looks complete that is not whole
    And at least 9 in 10 of the first host's are whole, 20 or more

    Examples:
      | ends      | framing          |
      | is killed | without a length |
      | stops     | without a length |
      | is killed | in chunks        |

  Scenario Outline: A host that passes on another host's plain answers <ends>
    # Guards against the same in answers that can't be resumed.
    Given a site of 3 hosts that pass on the answers to the first, without a length
    When host 2 <ends> while requests run
    Then no answer looks complete that is not whole
    And at least 9 in 10 of those that may be repeated are whole, 10 or more
    And no request that must not be repeated ran twice

    Examples:
      | ends      |
      | is killed |
      | stops     |
