Feature: Upstreams that answer bytes without end

  Scenario Outline: Half of the replicas answer <bytes> without end
    # Guards against calls without an answer, and against a host that grows,
    # since bytes that are no answer keep coming.
    Given a site of 2 hosts and 4 plain replicas
    When 2 of the replicas answer <bytes> without end for 10 s, each <pause> s
    Then at least 9 in 10 of the calls that may be repeated are answered
    And every call has ended by its deadline
    And no host needs more memory than it may

    Examples:
      | bytes             | pause |
      | interim heads     | 0     |
      | header bytes      | 0.1   |
      | header fields     | 0     |
      | trailers          | 0     |
      | bytes of trailers | 0.1   |
      | a chunked body    | 0     |
      | a body            | 0     |
