Feature: Probes of failing upstreams are bounded and shared

  Scenario: Everything fails at one host
    # Guards against hundreds of probes a second from a host whose engines are
    # full or dead: among hundreds of hosts they take a tenth of its processor
    # time.
    Given a host with 190 engines
    When all engines refuse work every 0.1 s for 10 s and answer each probe
    Then the host sends at most 4 probes in any second
    When all engines die for 10 s
    Then the host sends at most 4 probes in any second after the first 3

  Scenario: Engines that were cut off together come back
    # Guards against a minute in which a host uses few engines after a network
    # partition, because it probes only four a second.
    Given a host with 190 engines
    When all engines die for 10 s
    And all engines answer again
    Then the host uses all engines within 1.7 s

  Scenario: Dead engines answer again while other upstreams fail
    # Guards against engines that stay unused because the probes of upstreams
    # that fail now take all that a host sends.
    Given a host with 8 engines
    When all engines die for 10 s
    And all engines answer again
    And 3 plain replicas lose a connection every 0.1 s and answer each probe
    Then the host uses all engines within 1.7 s

  Scenario: Engines die while others are full
    # Guards against a late repair: probes that find an engine dead must not
    # wait for those of engines that are merely full.
    Given a host with 190 engines
    When all engines refuse work every 0.1 s for 5 s and answer each probe
    And connections to 30 engines break, which then answer no probe
    Then each of the 30 counts as dead within 0.8 s

  Scenario Outline: Hosts of a data centre share the probes of a dead engine
    # Guards against probes of each dead engine by every host, and against a
    # host that learns late of a recovery.
    Given <hosts> hosts that find one engine dead
    When they exchange peer updates every 0.25 s for 10 s, 1 in 20 of them lost
    Then at most <share> of the hosts have probed it in the last 3 s
    When the engine answers again
    Then all hosts use it within <seconds> s

    Examples:
      | hosts | share | seconds |
      | 8     | 4     | 2.4     |
      | 60    | 12    | 2.4     |
      | 195   | 36    | 2.4     |

  Scenario: The hosts that probe an engine are cut off from it
    # Guards against an engine that no host uses because three can't reach it.
    Given 8 hosts that find one engine dead
    When they exchange peer updates every 0.25 s for 10 s, 1 in 20 of them lost
    And the engine answers all but the hosts that probed it in the last 3 s
    Then the other hosts use it within 13 s

  Scenario: The hosts that probe a dead engine are lost
    # Guards against an engine that no host probes any more.
    Given 8 hosts that find one engine dead
    When they exchange peer updates every 0.25 s for 10 s, 1 in 20 of them lost
    And the hosts that probed it in the last 3 s are lost
    And the engine answers again
    Then all hosts use it within 3 s
