Feature: Requests of a host's earlier processes that upstreams may still read

  Scenario Outline: An upstream has answered nothing since a host started
    # Guards against retries beyond the budget, since an upstream reads what a
    # killed process had sent it when the next one has its whole share.
    Given a chain of engines and two plain replicas
    And a host that heard the others <heard> s after its start
    When it sends a request, which is <answered>, and <seconds> s pass
    And the upstream <then>, and <later> s pass
    Then its part of the retry budget is <part>

    Examples:
      | heard | answered     | seconds | then           | later | part      |
      | 0     | answered     | 12      | does nothing   | 0     | whole     |
      | 0     | not answered | 12      | does nothing   | 0     | a reserve |
      | 0     | not answered | 60      | does nothing   | 0     | a reserve |
      | 0     | not answered | 60      | answers        | 18    | a reserve |
      | 0     | not answered | 60      | answers        | 22    | whole     |
      | 0     | not answered | 60      | leaves         | 1     | whole     |
      | 0     | not answered | 60      | is replaced    | 1     | whole     |

  Scenario: An upstream that joins later answers nothing
    # Guards against hosts without retries since a new upstream is not sound.
    Given a chain of engines and two plain replicas
    And a host that heard the others 0 s after its start
    When an upstream joins, and a request to it is not answered for 20 s
    Then its part of the retry budget is whole

  Scenario Outline: An upstream <what> that may hold a retry
    # Guards against an upstream that stands still, and leaves the list, taken for
    # one that has ended and reads nothing more.
    Given a chain of engines and two plain replicas
    And a host that heard the others 0 s after its start
    When it sends a request, which is answered, and 12 s pass
    And a caller leaves before a retry is answered
    And the upstream <what>, and <seconds> s pass
    Then <count> of its retries count

    Examples:
      | what               | seconds | count |
      | does nothing       | 30      | 1     |
      | leaves             | 30      | 1     |
      | leaves             | 75      | 0     |
      | refuses connections | 5      | 1     |
      | refuses connections | 15     | 0     |
