Feature: The bound on an attempt's silence

  Scenario Outline: The long bound ends with the first token
    # Symptom: an answer stood still for seconds after its first token.
    # Sequence: the first token has come, then a stage falls silent. Cause: the
    # bound for the prefill was kept for the first gap after it.
    Given an attempt that has given <tokens> tokens
    When its stream is handed to the pump
    Then the bound on its silence is <bound> s

    Examples:
      | tokens | bound |
      | 0      | 5     |
      | 1      | 2     |
