Feature: Settings are validated completely at the start

  Scenario: All mistakes are reported together
    # Failure: an operator corrects one key, restarts and gets the next error.
    # Cause: the check stops at the first mistake.
    Given a router settings file with
      """
      control = "10.0.0.1:7070"
      log = "10.0.0.9:80"
      [node]
      name = "kl-1"
      data_centre = "kl-hall"
      listen = "somewhere"
      colour = "blue"
      [timing]
      connect_s = -1
      """
    When the router is started with it
    Then it exits with code 2
    And it names the keys "node.listen, node.colour, timing.connect_s"

  Scenario Outline: A mistake is reported with the expected value
    Given a router settings file with
      """
      <line>
      control = "10.0.0.1:7070"
      [node]
      name = "kl-1"
      data_centre = "kl-hall"
      listen = "127.0.0.1:0"
      """
    When the settings file is checked with the command line
    Then it exits with code 2
    And the message has "<message>"

    Examples:
      | line                            | message                         |
      | log = 7                         | log: expected str, got 7        |
      | log = "h:80"                    | log: expected IP:port           |
      |                                 | log: expected a value           |
      | log = "1.1.1.1:1"\nlimits = 3   | limits: expected a table        |
      | nonsense                        | expected TOML                   |
