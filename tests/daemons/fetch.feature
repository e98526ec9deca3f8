Feature: Pages that a host fetches from another one

  Scenario: Connections that have gone silent
    # Guards against a configuration that comes seconds late: each host that is
    # asked for it on a silent connection costs a time-out.
    Given 3 other hosts, each behind a middlebox, whose pages were fetched
    When the middleboxes forget their connections
    Then the page of each is fetched at once
