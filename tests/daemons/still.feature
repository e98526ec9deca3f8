Feature: Configurations while some hosts stand still

  Scenario: Readers stand still after they have told of a version
    # Guards against versions that come late at hosts that nothing disturbs: they
    # ask one host after the other that stands still, and the store last.
    Given 8 hosts of three data centres
    When 4 times a version is written, 3 hosts with two readers stand still, and another version follows
    Then each running host serves each route 2 s after the store has confirmed it
