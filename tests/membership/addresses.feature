Feature: How hosts know and find each other

  Scenario Outline: Settings of two hosts that differ in <difference>
    # Guards against two hosts that take each other for one.
    Given the settings of a host, and others that differ in <difference>
    Then the two are different hosts to a third one

    Examples:
      | difference             |
      | the IP                 |
      | the ports of updates   |
      | the port of pages      |

  Scenario: Settings with a seed that can't be read
    # Guards against a host that doesn't start since one of its seeds is malformed.
    Given settings whose seeds are "localhost:1", "10.0.0.7" and "10.0.0.8:9"
    Then the host knows the seed "10.0.0.8:7340/9" alone

  Scenario: Settings with an IP that can't be read
    Given settings whose IP is "localhost"
    Then the host refuses them

  Scenario Outline: A host that is named as <text>
    Given a host "10.1.0.4:7340/8229"
    Then <text> is <host> to it

    Examples:
      | text                | host                |
      | 10.1.0.5            | 10.1.0.5:7340/8229  |
      | 10.1.0.4:7341/8230  | 10.1.0.4:7341/8230  |
      | 10.1.0.4:0/8230     | refused             |
      | 10.1.0.4:7341       | refused             |
      | 10.1.0.4:7341/99999 | refused             |
      | ten                 | refused             |

  Scenario: Hosts at one address find each other by the one that their settings name
    # Guards against hosts that send their updates to themselves, since the ports
    # of a seed are taken to be their own.
    Given three hosts at one address of which two know only the first's pages
    Then within 10 s each hears the other two
    And each knows what the others have in flight

  Scenario: A host of an older build beside newer ones
    # Guards against hosts that refuse each other's updates while builds differ.
    Given a host that receives updates
    When a host of an older build, which names itself by its IP, sends it one
    Then it answers in the form that the older build reads

  Scenario: Another process that sends as this host
    # Guards against two hosts that are configured alike and count as one
    # without a word.
    Given a host that receives updates
    When another process sends it an update in its own name
    Then it logs that, and takes no update from it

  Scenario Outline: What a host concludes from the store's lists: <case>
    # Guards against a host that takes itself for the only one since a list lacks
    # others, and against one that has no retries for good though lists name all.
    Given a host that hears nobody and whose settings name <seeds> of 2 data centres
    When it reads the lists for <seconds> s, which name <own> in its own and <other> in the other
    Then it counts <hosts> hosts

    Examples:
      | case                                | seeds   | seconds | own             | other         | hosts |
      | two others, for long                | no host | 9       | it and h2       | h3            | 3     |
      | the lists are not read for long     | no host | 4       | it and h2       | h3            | no    |
      | as many members as partitions       | no host | 9       | 12 hosts        | h3            | no    |
      | a partition without an owner        | no host | 9       | it and a gap    | h3            | no    |
      | the other list can't be read        | no host | 9       | it and h2       | not available | no    |
      | nobody in the other data centre     | no host | 9       | it and h2       | nobody        | 4     |
      | a seed that no list names           | a host  | 9       | it and h2       | h3            | 3     |
