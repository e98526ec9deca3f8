Feature: Requests that share a prompt segment which crashes upstreams

  Scenario Outline: Different requests with one segment crash every engine
    # Guards against engines that crash one after the other under requests of
    # which no two are alike, so that each has a fingerprint of its own.
    Given 8 hosts in three data centres
    And engines that crash under the prompt segment "bad"
    And 12 sound requests a second with the segments "<sound>"
    When a request with the segments "<segments>" arrives every <every> s at a random host for <seconds> s
    Then such requests reached engines at most 3 times more than 3 s after the fifth crash
    And sound requests begin at their first attempt at least half as often as before

    Examples:
      | sound   | segments     | every | seconds |
      | system  | system,bad   | 0.3   | 30      |
      | system  | system,bad   | 2     | 60      |
      | system  | system,bad   | 10    | 120     |
      | system  | bad,system   | 0.3   | 30      |
      | a,b     | a,bad,b      | 0.3   | 30      |
      | a,b     | a,b,bad      | 0.05  | 20      |
      | system  | bad          | 0.3   | 30      |
      | system  | bad,c,system | 0.3   | 30      |
