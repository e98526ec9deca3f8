Feature: Contention updates between hosts

  Scenario: What is sent is what is read
    Given a contention update with links, waiting requests and promised returns
    Then it is read as it was sent, in less than 1200 bytes

  Scenario: Many links and services are contended
    # Guards against an update that no packet carries, and one that all other
    # hosts refuse since a sum is too large.
    Given a contention update with 21 links, 8 services and 200000 requests
    Then it is read with its busiest link, in less than 1200 bytes

  Scenario Outline: A datagram that is no contention update
    # Guards against believing a broken or foreign sender.
    Then the datagram <data> is refused for its "<field>"

    Examples:
      | data                                                        | field       |
      | ["contention"]                                              | contention  |
      | ["contention", "10.1.0.9", "kl", 3]                         | contention  |
      | ["contention", "elsewhere", "kl", {}]                       | host        |
      | ["contention", "10.1.0.9", 4, {}]                           | data_centre |
      | ["contention", "10.1.0.9", "kl", {"links": {"a>b": -1}}]    | links       |
      | ["contention", "10.1.0.9", "kl", {"links": {"a>b": 1e9}}]   | links       |
      | ["contention", "10.1.0.9", "kl", {"links": {"a": 1}}]       | links       |
      | ["contention", "10.1.0.9", "kl", {"waiting": {"s": [[1]]}}] | waiting     |
      | ["contention", "10.1.0.9", "kl", {"waiting": {"s": [[-1, 2]]}}]  | waiting |
      | ["contention", "10.1.0.9", "kl", {"waiting": {"s": [[0, 1e12]]}}] | waiting |
      | ["contention", "10.1.0.9", "kl", {"waiting": {"s": [[10, 2]]}}] | waiting |
      | ["contention", "10.1.0.9", "kl", {"waiting": {"s": [[1, 0]]}}] | waiting  |
      | ["contention", "10.1.0.9", "kl", {"returns": {"s": ["x"]}}] | returns     |
      | ["contention", "10.1.0.9", "kl", {"returns": {"s": 3}}]     | returns     |

  Scenario: A newer build sends a field that is not known here
    # Guards against dropping all state of newer builds during an upgrade.
    Then the datagram ["contention", "10.1.0.9", "kl", {"new": 1}] is read as empty
