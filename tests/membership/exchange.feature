Feature: What hosts tell each other of their requests

  Scenario: A datagram carries everything
    Given news with requests in flight, slow and dead engines and layers
    When it is sent as a datagram
    Then the same news is read from it

  Scenario Outline: A datagram that is no news
    When the datagram "<bytes>" is read
    Then it is ignored

    Examples:
      | bytes                          |
      | not json                       |
      | []                             |
      | ["a","b",0,{"x":1},{},[],{},[]]|
      | {"host": "a"}                  |

  Scenario: Hosts that know one seed find each other
    # Symptom: request memory is given out several times over. Cause: hosts
    # that don't hear each other count only their own requests.
    Given three hosts on this machine of which two know only the first
    Then within 5 s each hears the other two
    And each knows what the others have in flight

  Scenario: A host that is cut off keeps to its part of the repeats
    # Symptom: three times the repeats allowed. Sequence: hosts lose each other
    # and each takes the whole budget.
    Given a host that has heard of 7 others
    Then 10 s after the last was heard 8 hosts share the repeats
    And 31 s after that 1 hosts share the repeats
