Feature: The retry budget beside hosts that start again
  # Seen: a service was sent more repeats in ten seconds than all hosts together
  # may send, on an installation of 61 hosts in three data centres.
  # How it came about: not known yet; in the record hosts had just started.

  Scenario: All hosts start again while upstreams fail
    Given 61 hosts in 3 data centres, and upstreams that fail
    When all hosts start again at 16 s, 20 s and 24 s
    Then no window has more repeats than all hosts together may send

  Scenario: Data centres that don't hear each other share the budget
    Given 15 hosts in 3 data centres, and upstreams that fail
    When all data centres are cut off from 10 s to 60 s
    Then no window has more repeats than all hosts together may send
