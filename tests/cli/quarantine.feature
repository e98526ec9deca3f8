Feature: Requests in quarantine, for operators

  Scenario: An operator lists them and lets one go
    # Symptom: a prompt that works again is refused until all routers start
    # anew. Sequence: engines ended under it, they were mended, and nobody can
    # tell the routers.
    Given a data centre with two entry hosts in force
    When the router of one host reports that 3 engines ended under a prompt
    Then the prompt is refused at both hosts, and other prompts are answered
    And the command line lists it at both hosts
    When an operator lets it go at the other host
    Then the prompt is answered at both hosts
    And the command line says that there is none, and that it knows no other
