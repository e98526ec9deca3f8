Feature: Attempts beside silent ones

  Scenario Outline: A silent attempt ends while the one beside it is chosen
    # Guards against an attempt that runs and counts nowhere, and that nobody
    # reads or ends, since the request went on without it.
    Given a handover that is choosing its attempt <when>
    When the silent attempt ends meanwhile
    Then nothing more is sent for it, and the desk learns that it was not

    Examples:
      | when             |
      | first            |
      | after a refusal  |
