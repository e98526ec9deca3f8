Feature: Output that shows a prompt to be harmless

  Scenario Outline: Output of one attempt
    # Guards against engines that crash some events after the first one and
    # whose prompts count as harmless by then.
    Given an attempt with output at "<output>" s
    Then its answer is established by "<by>"

    Examples: times in seconds; the end of a complete answer
      | output                            | by    |
      | none                              | never |
      | 5.0                               | never |
      | 5.0 5.5 6.0 6.5 6.9               | never |
      | 5.0 5.5 6.0 6.5 7.0 7.1           | 7.0   |
      | 5.0 8.5                           | never |
      | 5.0 8.5 12.0 15.5 19.0            | 19.0  |
      | end                               | never |
      | 5.0 end                           | end   |
      | 5.0 5.5 6.0 6.5 7.0 end           | 7.0   |
      | 5.0 5.5 6.0 6.5 next 7.0          | never |
      | 5.0 next end                      | never |
      | 5.0 5.5 next 7.5 8.0 8.5 9.0 9.5  | 9.5   |

  Scenario: An answer that was established is cut, and another attempt as well
    # Guards against sound segments that are blamed for engines which crash by
    # themselves under long answers, one after the other.
    Given an attempt with output at "5.0 5.5 6.0 6.5 7.0 next 8.0" s
    Then its prompt counts as harmless
    And output for 2 s more is told once again
