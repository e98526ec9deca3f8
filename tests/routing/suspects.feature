Feature: Hosts share the upstreams that they find failing

  Background:
    Given hosts a and b of kl-hall, c of pg-hall and d of cj-hall that know the same engines

  Scenario: Several engines die together
    # Guards against an empty retry budget: seven engines die, and for seconds
    # every request fails two or three times and then for good. Each of two
    # hundred hosts detected each dead engine by a lost request of its own, as
    # hosts reported dead engines to each other only after two failed probes
    # and 0.6 s.
    When a request of host a is refused on behalf of "l40s-0-kl-hall", which answers no probe
    And 0.1 s later the hosts exchange peer updates
    Then the paths of hosts b, c and d go without "l40s-0-kl-hall"

  Scenario: The only engines for some layers are suspected by another host
    # Guards against hosts with sound links that refuse streams on the word of
    # one without, for as long as no stream of theirs shows that it is wrong.
    When host a loses its links, and each of its requests fails
    And host a keeps saying that all engines fail
    And 0.1 s later the hosts exchange peer updates
    Then a request of host b is tried
    And no request of host b is tried once its own attempts fail

  Scenario: An engine that lacks memory for one request
    # It answers the probe within 10 ms, so the other hosts may use it.
    When a request of host a is refused on behalf of "l40s-0-kl-hall", which answers its probe
    And 0.1 s later the hosts exchange peer updates
    Then host b still uses "l40s-0-kl-hall"

  Scenario: An engine that recovers
    When a request of host a is refused on behalf of "l40s-0-kl-hall", which answers no probe
    And 0.1 s later the hosts exchange peer updates
    And "l40s-0-kl-hall" answers the next probe of host a
    And 0.7 s later the hosts exchange peer updates
    Then host b still uses "l40s-0-kl-hall"

  Scenario: Data centres that are cut off from each other
    # Guards against a data centre that reaches two others but uses neither:
    # those are cut off from each other, and it believed what each reported of
    # the other.
    When a request of host a finds "l40s-0-pg-hall" unreachable
    And 0.1 s later the hosts exchange peer updates
    Then host d still uses "l40s-0-pg-hall"
    And host b no longer uses "l40s-0-pg-hall"

  Scenario: A suspicion from a peer update is not sent on
    # Guards against an engine that fails for a moment and is never used again,
    # because two hosts keep returning each other's suspicion.
    When a request of host a is refused on behalf of "l40s-0-kl-hall", which answers no probe
    And 0.1 s later the hosts exchange peer updates
    And host a is lost
    And the others exchange peer updates every 0.2 s for 2 s
    Then host b still uses "l40s-0-kl-hall"
    And host c still uses "l40s-0-kl-hall"

  Scenario: A host that reaches no upstream by itself
    # Guards against hosts with sound links that stop because of one without.
    When host a loses its links, and each of its requests fails
    And 0.1 s later the hosts exchange peer updates
    Then all hosts but a use all engines and replicas

  Scenario: A host whose word its peers know to be wrong
    # Guards against the same where the host does not notice: an engine that
    # answers others is not down because one host goes on to say so.
    When host a keeps saying that "l40s-0-kl-hall" fails
    And 0.1 s later the hosts exchange peer updates
    Then host b no longer uses "l40s-0-kl-hall"
    When "l40s-0-kl-hall" answers a request of host b
    And the hosts exchange peer updates every 0.2 s for 2 s
    Then host b still uses "l40s-0-kl-hall"

  Scenario: A host that finds an upstream dead which answers others
    # Guards against one voice that marks an upstream down at all hosts, again
    # after each probe that it answers.
    When host a keeps saying that "l40s-0-kl-hall" is dead
    And 0.1 s later the hosts exchange peer updates
    And "l40s-0-kl-hall" answers the next probe of host b
    And the hosts exchange peer updates every 0.2 s for 2 s
    Then host b still uses "l40s-0-kl-hall"

  Scenario: An upstream that dies after its peers knew better
    When host a keeps saying that "l40s-0-kl-hall" fails
    And "l40s-0-kl-hall" answers a request of host b
    And host a finds it sound again
    And the hosts exchange peer updates every 0.2 s for 2 s
    And host a keeps saying that "l40s-0-kl-hall" fails
    And 0.1 s later the hosts exchange peer updates
    Then host b no longer uses "l40s-0-kl-hall"

  Scenario: All replicas of a service are suspected by another host
    # Guards against calls that are refused though nobody has tried a replica.
    When host a keeps saying that "app-0" and "app-1" fail
    And 0.1 s later the hosts exchange peer updates
    Then host b still calls a replica
