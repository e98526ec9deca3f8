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

  Scenario Outline: Two segments crash engines at the same time
    Given 8 hosts in three data centres
    And engines that crash under the prompt segment "bad"
    And engines that crash after <output> s of output
    And engines that crash under the prompt segment "worse"
    And 12 sound requests a second with the segments "system"
    When requests with the segments "system,bad" and "system,worse" arrive in turn every 0.2 s for 30 s
    Then such requests reached engines at most 3 times more than 3 s after the tenth crash
    And sound requests begin at their first attempt at least half as often as before

    Examples:
      | output |
      | 0      |
      | 0.1    |

  Scenario: Engines that send no head before they crash
    Given 8 hosts in three data centres
    And engines that crash under the prompt segment "bad"
    And engines that crash before the head of their answer
    And 12 sound requests a second with the segments "system"
    When a request with the segments "system,bad" arrives every 0.3 s at a random host for 30 s
    Then such requests reached engines at most 3 times more than 3 s after the fifth crash
    And only segments with "bad" are quarantined

  Scenario Outline: Engines that bring some output before they crash
    # Guards against a segment that is never quarantined since its requests get
    # the first part of an answer before each crash.
    Given 8 hosts in three data centres
    And engines that crash under the prompt segment "bad"
    And engines that crash after <output> s of output
    And 12 sound requests a second with the segments "system"
    When a request with the segments "<segments>" arrives every <every> s at a random host for <seconds> s
    Then such requests reached engines at most 3 times more than 3 s after the fifth crash
    And sound requests begin at their first attempt at least half as often as before
    And only segments with "bad" are quarantined

    Examples:
      | segments     | output | every | seconds |
      | system,bad   | 0.02   | 0.3   | 30      |
      | system,bad   | 0.1    | 0.3   | 30      |
      | system,bad   | 0.3    | 0.3   | 30      |
      | system,bad   | 0.3    | 2     | 60      |
      | system,bad   | 0.1    | 10    | 120     |
      | bad          | 0.1    | 0.05  | 20      |

  Scenario Outline: Engines that bring output for more than a second before they crash
    # Guards against a segment that counts as harmless by answers that are
    # ended by its crashes.
    Given 8 hosts in three data centres
    And engines that crash under the prompt segment "bad"
    And engines that crash after <output> s of output
    And 12 sound requests a second with the segments "system"
    When a request with the segments "system,bad" arrives every 0.3 s at a random host for 30 s
    Then such requests reached engines at most 3 times more than 3 s after the fifth crash
    And sound requests begin at their first attempt at least half as often as before
    And only segments with "bad" are quarantined

    Examples:
      | output |
      | 0.9    |
      | 1.2    |
      | 3      |

  Scenario Outline: A segment that was answered before crashes engines from now on
    Given 8 hosts in three data centres
    And engines that crash after <output> s of output
    And 12 sound requests a second with the segments "system"
    And requests with the segments "system,bad" are answered for 10 s
    And engines that crash under the prompt segment "bad"
    When a request with the segments "system,bad" arrives every 0.3 s at a random host for 30 s
    Then such requests reached engines at most 3 times more than 3 s after the fifth crash
    And sound requests begin at their first attempt at least half as often as before
    And only segments with "bad" are quarantined

    Examples:
      | output |
      | 0      |
      | 0.1    |

  Scenario Outline: Engines that crash one after the other by themselves
    # Guards against a system prompt that is quarantined since all requests have
    # it that run when engines crash.
    Given 8 hosts in three data centres
    And 12 sound requests a second with the segments "system,manual"
    When <count> engines crash by themselves, one every <every> s
    Then no segment is quarantined
    And no sound request was refused as quarantined

    Examples:
      | count | every |
      | 6     | 1.5   |
      | 10    | 0.3   |
      | 12    | 0.1   |

  Scenario Outline: A few engines that crash soon after each start
    # Guards against a system prompt that is quarantined since engines with
    # another fault end all its answers in their first second.
    Given 3 hosts and <engines> engines in one data centre
    And answers that last 20 s
    And 1 sound requests a second with the segments "system,manual"
    When the engines of "kl-hall" crash <alive> s after each start, for 40 s
    Then no segment is quarantined
    And no sound request was refused as quarantined

    Examples:
      | engines | alive |
      | 2       | 0.5   |
      | 2       | 0.9   |
      | 4       | 0.9   |
      | 4       | 2     |

  Scenario Outline: Engines that run most requests crash by themselves
    # Guards against a system prompt that is quarantined since long answers are
    # moved from one crashing engine to the next.
    Given 8 hosts in three data centres
    And answers that last 20 s
    And 1 sound requests a second with the segments "system,manual"
    When 12 engines that run most requests crash by themselves, one every <every> s
    Then no segment is quarantined
    And no sound request was refused as quarantined

    Examples:
      | every |
      | 0.3   |
      | 0.6   |
      | 1     |

  Scenario Outline: Engines lose power while requests with a new segment wait
    # Guards against a segment that is quarantined since all its requests were
    # cut by one power loss.
    Given 8 hosts in three data centres
    And 2 sound requests a second with the segments "system"
    When 12 requests with the segments "system,new" run and <lost> lose power
    Then no segment is quarantined
    And a request with the segments "system,new" is answered

    Examples:
      | lost                     |
      | all engines              |
      | the engines of "kl-hall" |

  Scenario Outline: A session that runs beside the fatal requests
    # Guards against a segment that is quarantined since its few requests are
    # cut by the crashes that another segment causes.
    Given 8 hosts in three data centres
    And engines that crash under the prompt segment "bad"
    And engines that crash after <output> s of output
    And 12 sound requests a second with the segments "system"
    When each fatal request with the segments "system,bad" meets two with "system,session" on its engine, 8 times
    Then only segments with "bad" are quarantined

    Examples:
      | output |
      | 0      |
      | 0.1    |

  Scenario: Two segments that came together, of which one is sound
    # Guards against a sound segment that stays quarantined because all requests
    # that crashed engines had it as well.
    Given 8 hosts in three data centres
    And engines that crash under the prompt segment "bad"
    And 2 sound requests a second with the segments "system"
    When a request with the segments "bad,rare" arrives every 0.3 s at a random host for 6 s
    Then a request with the segments "rare" is answered
    And a request with the segments "bad" crashes at most one more engine

  Scenario: Hosts that start after the quarantine of a segment
    Given 8 hosts in three data centres
    And engines that crash under the prompt segment "bad"
    And 12 sound requests a second with the segments "system"
    When a request with the segments "system,bad" arrives every 0.3 s at a random host for 6 s
    And each host is restarted, one a second
    And a request with the segments "system,bad" arrives every 0.3 s at a random host for 6 s
    Then no engine was reached since the first restart

  Scenario: All hosts lose power after the quarantine of a segment
    Given 8 hosts in three data centres
    And engines that crash under the prompt segment "bad"
    And 12 sound requests a second with the segments "system"
    When a request with the segments "system,bad" arrives every 0.3 s at a random host for 6 s
    And all hosts are restarted at once
    And a request with the segments "system,bad" arrives every 0.3 s at a random host for 6 s
    Then no engine was reached since the first restart

  Scenario: Most hosts start again while a segment crashes engines
    Given 8 hosts in three data centres
    And engines that crash under the prompt segment "bad"
    And 12 sound requests a second with the segments "system"
    When a request with the segments "system,bad" arrives every 0.3 s at a random host until 2 engines crashed
    And 6 hosts are restarted at once
    And a request with the segments "system,bad" arrives every 0.3 s at a random host for 20 s
    Then such requests reached engines at most 3 times more than 3 s after the fifth crash
    And sound requests begin at their first attempt at least half as often as before

  Scenario: A data centre that is partitioned from the others while a segment crashes engines
    Given 8 hosts in three data centres
    And engines that crash under the prompt segment "bad"
    And the hosts of "pg-hall" and all others exchange no datagrams
    And 12 sound requests a second with the segments "system"
    When a request with the segments "system,bad" arrives every 0.3 s at a random host for 30 s
    Then such requests reached engines at most 3 times more than 3 s after the fifth crash

  Scenario: Many hosts that lose a fifth of their datagrams while a segment crashes engines
    Given 60 hosts in three data centres
    And a fifth of the datagrams between hosts are lost
    And engines that crash under the prompt segment "bad"
    And 12 sound requests a second with the segments "system"
    When a request with the segments "system,bad" arrives every 0.3 s at a random host for 12 s
    Then such requests reached engines at most 3 times more than 3 s after the fifth crash
    And only segments with "bad" are quarantined

  Scenario: Requests with a quarantined segment are refused at once
    Given 2 hosts in three data centres
    And engines that crash under the prompt segment "bad"
    When the segment "bad" is quarantined while a request with it waits at each host
    Then these requests are refused at once, as not run
    And a running request with it is not rerouted
    And one with it is refused, without a word on any other

  Scenario: An operator releases a segment
    Given 8 hosts in three data centres
    And engines that crash under the prompt segment "bad"
    And 12 sound requests a second with the segments "system"
    When a request with the segments "system,bad" arrives every 0.3 s at a random host for 6 s
    And the cause is mended and an operator removes the segment from the store
    Then a request with the segments "system,bad" is answered

  Scenario: A segment among hundreds
    Given 8 hosts in three data centres
    And engines that crash under the prompt segment "bad"
    And 12 sound requests a second with the segments "system"
    When a request with 200 segments of its own and "bad" arrives every 0.3 s at a random host for 30 s
    Then such requests reached engines at most 3 times more than 3 s after the fifth crash

  Scenario: Answers without any output speak for no segment
    # Guards against a bad segment that goes on crashing engines since its
    # requests got a head and an end from one of them, and nothing between.
    Given 8 hosts in three data centres
    And engines that crash under the prompt segment "bad"
    And 12 sound requests a second with the segments "system"
    When a request with the segments "bad" arrives every 0.3 s at a random host until 2 engines crashed
    And all hosts record an answer without output to a request with it
    And a request with the segments "bad" arrives every 0.3 s at a random host until 3 engines crashed
    Then only segments with "bad" are quarantined
