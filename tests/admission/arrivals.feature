Feature: Requests that upstreams may still read

  Scenario Outline: A retried attempt that was ended unanswered
    # Guards against retries beyond the budget, since an upstream reads a request
    # long after its host has ended it.
    Given a host that has used up its retries at 0 s, each attempt ended unanswered
    When <what> happens at <when> s
    Then <which> of its retries count at <at> s

    Examples:
      | what                                     | when | which | at  |
      | nothing                                  | 0    | all   | 200 |
      | an answer to a later attempt             | 100  | all   | 119 |
      | an answer to a later attempt             | 100  | none  | 121 |
      | an answer to an earlier attempt          | 100  | all   | 200 |
      | an answer to a later attempt elsewhere   | 100  | all   | 200 |
      | the end of the upstream                  | 100  | all   | 109 |
      | the end of the upstream                  | 100  | none  | 111 |
      | the loss of the upstream                 | 100  | all   | 169 |
      | the loss of the upstream                 | 100  | none  | 171 |

  Scenario Outline: An upstream that answers nothing
    # Guards against requests that go to an upstream that reads nothing.
    Given an upstream that <answered>, and a request sent at 0 s
    Then at <when> s it <state>

    Examples:
      | answered               | when | state                        |
      | answered all before    | 0.5  | is not silent                |
      | answered all before    | 1.4  | is silent and not tried      |
      | answered all before    | 3    | is silent and tried          |
      | answers others         | 3    | is not silent                |
      | takes 1 s for answers  | 3    | is not silent                |
      | takes 1 s for answers  | 5    | is silent and tried          |
      | loses 1 caller         | 3    | is not silent                |
      | loses 2 callers        | 3    | is not silent                |
      | loses 3 callers        | 3    | is silent and tried          |
