Feature: Answers that have begun are given up only at their deadline

  Scenario Outline: A begun answer is interrupted while <trouble>
    # Guards against an answer that the host cuts at once though its caller
    # would wait, and another attempt is possible a moment later.
    Given an answer that has begun, with <trouble>
    When its attempt is cut by the upstream
    And 3 s go by while the trouble lasts
    Then the answer is not given up
    When the trouble ends
    Then the answer is resumed within 0.5 s

    Examples:
      | trouble                                   |
      | engines that refuse it                    |
      | no retries left                           |
      | no engine for its layers                  |

  Scenario: A begun answer that waits does not hold others up
    # Guards against a queue that stands still behind an answer that may not be
    # resumed yet.
    Given an answer that has begun, with no retries left
    When its attempt is cut by the upstream
    Then a new request starts at once

  Scenario Outline: What other hosts are told of a begun answer, with <trouble>
    # Guards against new requests at other hosts that wait for capacity which
    # an answer that may not be retried doesn't use.
    Given an answer that has begun, with <trouble>
    When its attempt is cut by the upstream
    And 1 s go by while the trouble lasts
    Then other hosts are told of <count> waiting requests
    And <count> requests count in the expected wait of a new one

    Examples:
      | trouble                  | count |
      | no retries left          | 0     |
      | no engine for its layers | 1     |
      | too little memory for it | 1     |

  Scenario: A begun answer that finds no room does not hold smaller ones up
    # Guards against a queue that stands still for seconds behind an answer that
    # waits for more memory, or for one engine.
    Given an answer that has begun, with too little memory for it
    When its attempt is cut by the upstream
    And a request that needs less memory arrives and 0.2 s go by
    Then that request has started, and the answer waits
    When the trouble ends
    Then the answer is resumed within 0.5 s

  Scenario: A begun answer that is refused again and again
    # Guards against a budget that one answer uses up.
    Given an answer that has begun, with engines that refuse it
    When its attempt is cut by the upstream
    And 3 s go by while the trouble lasts
    Then at most 14 retries are sent for it

  Scenario Outline: The service of an answer leaves the configuration
    # Guards against an answer that a change of the configuration cuts, since
    # its upstreams are no longer known when its attempt ends.
    Given an answer that <state>, with three engines for the first layers
    When its service leaves the configuration
    And its attempt is cut by the upstream
    Then the answer is resumed within 0.5 s

    Examples:
      | state     |
      | has begun |
      | has not begun |

  Scenario: The services of answers that have ended are forgotten
    Given an answer that has begun, with three engines for the first layers
    When its service leaves the configuration
    And its answer is complete
    And the next configuration comes
    Then no engine of that service is known

  Scenario: A begun answer at its deadline
    Given an answer that has begun, with no engine for its layers
    When its attempt is cut by the upstream
    And 20 s go by while the trouble lasts
    Then the answer is given up as one that may have run

  Scenario Outline: An answer whose engines ended its attempts
    # Guards against an answer given up since replicas that are gone by now, or
    # refused it, count among its attempts.
    Given an answer that has begun, with three engines for the first layers
    When its attempt is cut by the upstream, and that engine <first>
    And its next attempt is cut as well, and that engine <second>
    Then the answer is <outcome>

    Examples:
      | first                 | second                | outcome                |
      | is gone from the list | is gone from the list | resumed within 0.5 s   |
      | is gone from the list | is found down         | resumed within 1.5 s   |
      | is found down         | answers probes        | resumed within 0.5 s   |
      | answers probes        | is found down         | resumed within 1.5 s   |
      | answers probes        | answers probes        | given up within 1.5 s  |

  Scenario Outline: Engines end an answer's attempts, and some stand still
    # Guards against more replicas than the route allows: an engine that is only
    # silent for a second taken for one that has ended.
    Given an answer that has begun, with three engines for the first layers
    When its attempt is cut by the upstream, and that engine <first>
    And its next attempt is cut as well, and that engine <second>
    Then it is sent to no other engine for 1.2 s
    When the engines that stand still go on
    Then the answer is resumed at one of the engines that ran it

    Examples:
      | first          | second         |
      | stands still   | stands still   |
      | stands still   | answers probes |
      | answers probes | stands still   |

  Scenario Outline: The record of an engine that ended an attempt is invalid
    # Guards against more replicas than the route allows: an engine whose record
    # can't be read taken for one that was removed from the list.
    Given an answer that has begun, with three engines for the first layers
    When its attempt is cut by the upstream, and that engine <record>
    And its next attempt is cut as well, and that engine stands still
    Then it is sent to no other engine for 1.2 s
    When the engines that stand still go on
    Then the answer is resumed at one of the engines that ran it

    Examples:
      | record                       |
      | has a record of other bytes  |
      | has a record that is no fit  |

  Scenario Outline: Engines end an answer's attempts, and one has ended
    # Guards against a caller that waits for an engine which can't go on.
    Given an answer that has begun, with three engines for the first layers
    When its attempt is cut by the upstream, and that engine <first>
    And its next attempt is cut as well, and that engine stands still
    Then it is sent to the third engine within <seconds> s

    Examples:
      | first                 | seconds |
      | refuses connections   | 0.1     |
      | is gone from the list | 0.1     |
      | can't be reached      | 4       |

  Scenario: An attempt that this host ended counts as a replica that ran it
    # Guards against more replicas than the route allows.
    Given an answer that has begun, with three engines for the first layers
    When this host ends its attempt, and the next one is cut by the upstream
    Then the answer is resumed at one of the engines that ran it

  Scenario: Attempts whose helpers are lost
    # Guards against sound engines that count as failing, and answers that are
    # given up, since the hosts that passed them on were killed.
    Given an answer that has begun, with three engines for the first layers
    When its helper is lost 3 times
    Then the answer is resumed at one of the engines that ran it
    And no engine counts as failing
