Feature: Answers of replicas whose status is none

  Scenario Outline: Replicas answer "<line>"
    # Guards against a caller that gets a status that is none as an answer, or a
    # change of its connection's protocol, and against a promise that a request
    # has not run which has.
    Given a site of 2 hosts and 2 plain replicas
    When all replicas answer "<line>" to calls of each kind
    And all replicas answer "<line>" to calls that another host passes on
    Then no caller gets an answer that is a replica's
    And no request that ran is promised not to have run

    Examples:
      | line                             |
      | HTTP/1.1 000 OK                  |
      | HTTP/1.1 101 Switching Protocols |
      | HTTP/1.1 600 Odd                 |
      | HTTP/1.1 1000 OK                 |
