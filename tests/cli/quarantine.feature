Feature: Operators list and release quarantined requests

  Scenario: An operator lists quarantined requests and releases one
    # Guards against a prompt that stays refused until all routers restart:
    # engines crashed under it, they have been repaired since, and operators
    # have no way to release it.
    Given a data centre with two entry hosts in force
    When the router of one host reports that 3 engines crashed under a prompt
    Then the prompt is refused at both hosts, and other prompts are answered
    And the command line lists it at both hosts
    When an operator releases it at the other host
    Then the prompt is answered at both hosts
    And the command line lists none, and refuses to release an unknown one
