Feature: Configurations while the store turns some hosts away

  Scenario: The store serves one host alone
    # Guards against versions that come late at all hosts: the only host that
    # the store serves reads it in the seconds only for which it is drawn.
    Given 5 hosts of one data centre, each with a door to the store
    When the doors of all but the last are set to "503", and 3 s pass
    And 6 versions are written, one each 2.5 s, with a route of their own each
    Then each host serves each route 2 s after the store has confirmed it

  Scenario: The store answers no host of a data centre
    # Guards against versions that come late at the hosts of a data centre: they
    # wait for the store, while they have heard that others have the version.
    Given 5 hosts, the last 2 in "pg-hall", each with a door to the store
    When the doors in "pg-hall" are set to "silent", and 7 s pass
    And 6 versions are written, one each 2.7 s, with a route of their own each
    Then each host serves each route 2 s after the store has confirmed it

  Scenario: The store refuses the reader's reads of configurations alone
    # Guards against versions that come seconds late at all hosts of a data
    # centre: its reader follows the list of upstreams and nothing else.
    Given 5 hosts of one data centre, each with a door to the store
    When the door of the first refuses reads of configurations, and 3 s pass
    And 4 versions are written, one each 2.5 s, with a route of their own each
    Then each host serves each route 2 s after the store has confirmed it

  Scenario: The store answers one host alone
    # Guards against versions that come late at the hosts that the store doesn't
    # answer: they wait for it before they ask the host that has the version.
    Given 5 hosts of one data centre, each with a door to the store
    When the doors of all but the last are set to "silent", and 7 s pass
    And 6 versions are written, one each 2.5 s, with a route of their own each
    Then each host serves each route 2 s after the store has confirmed it

  Scenario: The store stops to answer a reader as it begins to wait for changes
    # Guards against versions that come late at a reader: it waits for the
    # store, though it has heard that others have the version.
    Given 5 hosts, the last 2 in "pg-hall", each with a door to the store
    When 3 times the reader in "pg-hall" gets no answer from the store, a version is written at once, and 6 s pass
    Then each host serves each route 2 s after the store has confirmed it

  Scenario: The answers to all waiting reads of configurations are lost
    # Guards against versions that come late at all hosts: each reader waits for
    # an answer that is lost, and counts as reading since it reads the list.
    Given 8 hosts of three data centres, each with a door to the store
    When 3 times all answers to reads that wait for configurations are lost as a version is written
    Then each host serves each route 2 s after the store has confirmed it

  Scenario: Pages of the newest records are older than their end
    # Guards against versions that all hosts of a data centre miss until the
    # next one: the reader reads a page in place of history that was dropped.
    Given 5 hosts, the last 2 in "pg-hall", each with a door to the store
    When 4 versions are written, one each 3.5 s, each as history is dropped and pages fall 1.0 s behind
    Then each host serves each route 2 s after the store has confirmed it
