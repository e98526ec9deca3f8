Feature: Time limits of routes

  Scenario Outline: <requests>, to <path>
    # Guards against a request that lasts longer than its route allows, since its
    # time began only when a thread took it up.
    Given a site of 1 hosts and 2 plain replicas
    And replicas that do not answer, and routes that allow 3 s
    When 12 callers send <requests> to <path>
    Then each answer comes within 0.5 s of the time limit

    Examples:
      | requests                       | path      |
      | a body 1.5 s after the head    | /cards/x  |
      | a body 1.5 s after the head    | /orders/x |
      | a last chunk 1.5 s late        | /cards/x  |
      | a head in pieces for 1.5 s     | /cards/x  |
      | three requests on a connection | /cards/x  |
      | three requests on a connection | /orders/x |
