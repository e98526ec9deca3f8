Feature: Decoding of the platform's data into the product's terms

  Scenario: Only the adapter contains the platform's names
    Then no module outside the adapter contains one of the platform's names

  Scenario: A configuration
    When the platform's example configuration is decoded
    Then its routes, services, limits and keys are in the product's terms

  Scenario: A configuration whose whole numbers have a decimal point
    # Guards against a valid version that is left out as a whole, so that its
    # routes are never served: JSON has one kind of number.
    When the example configuration is decoded with each number as "2.0"
    Then it equals the example configuration

  Scenario Outline: A configuration that lacks a field
    When the example configuration without "<field>" is decoded
    Then the error names "<field>"

    Examples:
      | field    |
      | version  |
      | routes   |
      | services |
      | limits   |

  Scenario Outline: A configuration by which nothing can be computed
    # Guards against an invalid version that is put in force, after which each
    # request of the model's service fails with an error of the host.
    When the example configuration with an engine's "<field>" of 0 is decoded
    Then the error names "<field>"

    Examples:
      | field          |
      | kv_token_bytes |
      | stride         |
      | read_per_s     |
      | chunk          |

  Scenario Outline: An entry of the list of upstreams
    When the entry "<entry>" is decoded
    Then its state is "<state>" and its layers are "<layers>"

    Examples:
      | entry                                                     | state    | layers |
      | state=ready                                               | ready    | none   |
      | state=draining                                            | draining | none   |
      | state=ready,layer_count={"source":20,"to":31,"version":1} | ready    | 20-31  |
      | state=ready,layer_count={"source":5,"to":5,"version":1}   | ready    | none   |

  Scenario Outline: Records in the response to a read
    When a read returns records "<records>" and <cut> bytes are cut off
    Then "<read>" is read

    Examples:
      | records | cut | read        |
      | ab,c    | 0   | ab,c        |
      |         | 0   |             |
      | ab,c    | 1   | cut short   |
      | ab,c    | 8   | cut short   |

  Scenario: A page of newest records
    # If only the first page of the list were read, upstreams on later pages
    # would stay unknown.
    Given a store whose newest records come in pages of 2
    When 5 entries are read
    Then all 5 are known and the next read starts at the first page's end

  Scenario: An unreadable record
    # If one bad record failed the whole read, a host would have no
    # configuration.
    Given a store with a good record and a broken one
    When both are read
    Then the good one is known and the broken one is unreadable

  Scenario: Versions of the configuration in quick succession
    # Two dozen versions of 240 routes arrive within seconds, each with a few
    # changes. If hosts decoded all routes of each, callers would have to wait.
    Given a configuration of 240 routes that was decoded
    When versions arrive with a route changed, added, removed or renamed
    Then each is decoded as if it were the first
    And unchanged routes are not decoded again

  Scenario Outline: Settings of a host
    When settings without "<field>" are decoded
    Then the problem names "<field>"

    Examples:
      | field     |
      | node_name |
      | listen    |
      | platform  |

  Scenario Outline: Timeouts derived from an installation's bounds and routes
    # With timeouts of another installation, a host would end a stream that
    # waits for a dead stage before the platform does.
    When settings have stalls of <stall> ms and heartbeats of <beat> ms
    And a route has an objective of <objective> ms and gaps of <gap> ms
    Then a silent stream times out after <silence> s and entries expire after <lapse> s
    And its caller gives up after <timeouts> s, and its stages are probed after <asked> s

    Examples:
      | stall | beat | objective | gap | silence | lapse | timeouts | asked |
      | 2000  | 1200 | 500       | 200 | 2.5     | 4.0   | 2.0      | 0.2   |
      | 3000  | 1200 | 500       | 250 | 3.5     | 4.0   | 2.0      | 0.25  |
      | 3000  | 800  | 900       | 300 | 3.5     | 2.8   | 3.6      | 0.3   |
      | 2000  | 1200 | 500       | 400 | 2.5     | 4.0   | 3.2      | 0.4   |

  Scenario: Invalid bounds
    When settings have stalls of 0 ms and heartbeats of 1200 ms
    Then they are refused

  Scenario Outline: Sizes of a request
    When a request states "<usage>" and "<estimate>"
    Then its tokens are "<tokens>"

    Examples:
      | usage     | estimate | tokens       |
      | 1460,80   | 40       | 1460 80 40   |
      | 1460, 80  |          | 1460 80 0    |
      | 1460      |          | none         |
      |           | 40       | none         |
      | many,few  |          | none         |

  Scenario: A request as the load balancer forwards it
    When a caller's request with its own key, deadline and path is read
    Then the key, the deadline and the path are not forwarded
    And the target and the body are unchanged

  Scenario Outline: Prompt segments that requests may share
    When the prompt segments "<value>" are decoded
    Then the shared segments are "<segments>"

    Examples:
      | value                                   | segments                |
      |                                         |                         |
      | 5c1e07a2:800                            |                         |
      | 5c1e07a2:800,91bd3f06:410,e4402b7d:250  | 5c1e07a2 91bd3f06       |
      | 005C1E07A2:800,5c1e07a2:1,e4402b7d:250  | 5c1e07a2                |
      | 0:1,zz:2,:3,,x,1                        | 0                       |
      | 5c1e07a2,1:1                            | 5c1e07a2                |
      | 1234567890abcdef0:1,1:1                 | 4d7cb83129ed661c        |

  Scenario: A request with hundreds of prompt segments
    When a request with 900 prompt segments is decoded
    Then it has 256 shared segments
