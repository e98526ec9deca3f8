Feature: What one host finds failing, the others need not find out

  Background:
    Given hosts a and b of kl-hall, c of pg-hall and d of cj-hall that know the same engines

  Scenario: Engines that die together
    # Symptom: seven engines die; for seconds every request fails two or three
    # times, and then for good, since no repeats are left. Sequence: each of
    # two hundred hosts finds each dead engine by a request of its own that it
    # lost there. Cause: hosts told each other of dead engines only after two
    # probes had failed and 0.6 s had passed.
    When a request of host a is refused on behalf of "l40s-0-kl-hall", which answers no probe
    And 0.1 s later the hosts tell each other
    Then the paths of hosts b, c and d go without "l40s-0-kl-hall"

  Scenario: An engine that is short of memory for one request
    # It answers the probe within 10 ms, and the others may use it.
    When a request of host a is refused on behalf of "l40s-0-kl-hall", which answers its probe
    And 0.1 s later the hosts tell each other
    Then host b still uses "l40s-0-kl-hall"

  Scenario: An engine that is back
    When a request of host a is refused on behalf of "l40s-0-kl-hall", which answers no probe
    And 0.1 s later the hosts tell each other
    And "l40s-0-kl-hall" answers the next probe of host a
    And 0.7 s later the hosts tell each other
    Then host b still uses "l40s-0-kl-hall"

  Scenario: Data centres that are cut off from each other
    # Symptom: two data centres lose each other, and a third one, which reaches
    # both, uses neither. Cause: it believed what each said of the other.
    When a request of host a finds "l40s-0-pg-hall" unreachable
    And 0.1 s later the hosts tell each other
    Then host d still uses "l40s-0-pg-hall"
    And host b no longer uses "l40s-0-pg-hall"

  Scenario: What is heard is told once
    # Symptom: an engine that was failing for a moment is left alone for good:
    # two hosts go on telling each other what each heard from the other.
    When a request of host a is refused on behalf of "l40s-0-kl-hall", which answers no probe
    And 0.1 s later the hosts tell each other
    And host a is lost
    And the others tell each other every 0.2 s for 2 s
    Then host b still uses "l40s-0-kl-hall"
    And host c still uses "l40s-0-kl-hall"
