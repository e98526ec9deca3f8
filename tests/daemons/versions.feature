Feature: How a host puts a configuration in force

  Scenario Outline: A part of the host fails to apply a version
    # Guards against a host that keeps the routes of the version before for
    # good, while its metrics and its updates show the new version.
    Given a host process's parts, of which "<part>" fails to apply version 8 once
    When version 8 is read
    Then version 8 is not in force, and the host is behind
    When version 8 is read again
    Then each part has applied version 8, and it is in force

    Examples:
      | part   |
      | broker |
      | intake |
      | server |
