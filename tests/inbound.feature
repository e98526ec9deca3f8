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
