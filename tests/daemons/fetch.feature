Feature: What a host reads from other hosts and from the store

  Scenario: Connections that have gone silent
    # Guards against a configuration that comes seconds late: each host that is
    # asked for it on a silent connection costs a time-out.
    Given 3 other hosts, each behind a middlebox, whose pages were fetched
    When the middleboxes forget their connections
    Then the page of each is fetched at once

  Scenario: A read that waits for changes, on connections that have gone silent
    # Guards against a host that takes over the reading, and waits for seconds
    # on a connection to the store that was kept from before.
    Given a store behind a middlebox, of which a topic was read
    When the middlebox forgets its connections
    Then the next read that waits for changes is answered

  Scenario: Hosts that told of a version stand still
    # Guards against a configuration that comes seconds late where hosts have
    # stopped: each is asked for it for a whole time-out, and the store last.
    Given a store with a newer version than one that was read
    And 3 other hosts that accept connections and answer nothing
    When the configuration is read, from these hosts first
    Then the newer version is read within 1 s

  Scenario: A host that told of a version sends it in small pieces
    # Guards against a configuration that comes seconds late where each byte of
    # an answer arrives in time, and the answer as a whole does not.
    Given a store with a newer version than one that was read
    And another host that sends a byte of its answer each 0.3 s
    When the configuration is read, from these hosts first
    Then the newer version is read within 1 s

  Scenario: A reader's wait is reset while other hosts stand still
    # Guards against a whole data centre whose configuration comes late: its
    # reader asks hosts that have stopped before it asks the store once more.
    Given a store with one version
    And 3 other hosts that accept connections and answer nothing
    When a reader's wait for changes is reset, and a newer version is written
    Then the reader has applied it within 2 s
