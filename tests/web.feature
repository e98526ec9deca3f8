Feature: Answers to callers

  Scenario Outline: A caller that reads to the end of its connection
    # Guards against an answer that broke off and looks complete, since HTTP/1.0
    # has no sign of an answer's end but that of its connection.
    Given a server of streams of 20 events
    When a caller of HTTP/1.0 asks, and <event>
    Then it reads <what>

    Examples:
      | event                               | what                         |
      | nothing happens                     | all events and the end       |
      | the answer breaks off after 5 events | a part and a broken connection |
      | the server is killed                | a part and a broken connection |
      | the server stops                    | a part and a broken connection |

  Scenario: Callers that hang up after their answers
    # Guards against a server that serves nobody any more, since it closes a
    # connection that is closed.
    Given a server of streams of 20 events
    When 20 callers reset their connections after an answer
    Then the server answers
