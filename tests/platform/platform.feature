Feature: What the platform writes, in the product's terms

  Scenario: The platform's names stay in its folder
    Then no module outside the adapter holds one of the platform's names

  Scenario: A configuration
    When the platform's example configuration is decoded
    Then its routes, services, limits and keys are in the product's terms

  Scenario Outline: A configuration that is not as promised
    When the example configuration without "<field>" is decoded
    Then the error names "<field>"

    Examples:
      | field    |
      | version  |
      | routes   |
      | services |
      | limits   |

  Scenario Outline: An entry of the list of upstreams
    When the entry "<entry>" is decoded
    Then it says "<state>" and holds "<layers>"

    Examples:
      | entry                                                     | state    | layers |
      | state=ready                                               | ready    | none   |
      | state=draining                                            | draining | none   |
      | state=ready,layer_count={"source":20,"to":31,"version":1} | ready    | 20-31  |
      | state=ready,layer_count={"source":5,"to":5,"version":1}   | ready    | none   |

  Scenario Outline: Records of a read
    When a read answers with records "<records>" and <cut> bytes are cut off
    Then "<read>" is read

    Examples:
      | records | cut | read        |
      | ab,c    | 0   | ab,c        |
      |         | 0   |             |
      | ab,c    | 1   | cut short   |
      | ab,c    | 8   | cut short   |

  Scenario: A page of newest records
    # Symptom: an upstream is missing for good. Cause: only the first page of
    # the list is read.
    Given a store whose newest records come in pages of 2
    When 5 entries are read
    Then all 5 are known and reading goes on from the first page's end

  Scenario: A record that can't be read
    # Symptom: a host without any configuration. Cause: one bad record ends
    # the whole read.
    Given a store with a good record and a broken one
    When both are read
    Then the good one is known and the broken one changes nothing

  Scenario: Versions of the configuration in quick succession
    # Symptom: hosts are busy with reading while callers wait. Sequence: two
    # dozen versions of 240 routes come within seconds, each with a few changes.
    Given a configuration of 240 routes that was decoded
    When versions come in which a route was changed, added, removed or renamed
    Then each is decoded as if it were the first
    And routes that stayed as they were are not decoded anew

  Scenario Outline: Settings of a host
    When settings without "<field>" are decoded
    Then the problem names "<field>"

    Examples:
      | field     |
      | node_name |
      | listen    |
      | platform  |

  Scenario Outline: Times that follow from an installation's bounds and routes
    # Symptom: a stream that is held up behind a dead stage is ended by the host
    # before the platform does. Cause: times fixed for another installation.
    When settings say stalls of <stall> ms and heartbeats of <beat> ms
    And a route says an objective of <objective> ms and pauses of <gap> ms
    Then a silent stream is read for <silence> s and entries lapse after <lapse> s
    And its caller turns away after <patience> s, and is asked about after <asked> s

    Examples:
      | stall | beat | objective | gap | silence | lapse | patience | asked |
      | 2000  | 1200 | 500       | 200 | 2.5     | 4.0   | 2.0      | 0.2   |
      | 3000  | 1200 | 500       | 250 | 3.5     | 4.0   | 2.0      | 0.25  |
      | 3000  | 800  | 900       | 300 | 3.5     | 2.8   | 3.6      | 0.3   |
      | 2000  | 1200 | 500       | 400 | 2.5     | 4.0   | 3.2      | 0.4   |

  Scenario: Bounds that can't be
    When settings say stalls of 0 ms and heartbeats of 1200 ms
    Then they are refused

  Scenario Outline: Sizes of a request
    When a request says "<usage>" and "<estimate>"
    Then its tokens are "<tokens>"

    Examples:
      | usage     | estimate | tokens       |
      | 1460,80   | 40       | 1460 80 40   |
      | 1460, 80  |          | 1460 80 0    |
      | 1460      |          | none         |
      |           | 40       | none         |
      | many,few  |          | none         |

  Scenario: A request as the balancer hands it on
    When a caller's request with key, deadline and path of its own is read
    Then the key, the deadline and the path are not passed on
    And the target and the body are as they were sent
