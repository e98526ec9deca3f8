Feature: Comparing hosts with each mechanism left out

  Scenario: A host uses all mechanisms by default
    Then a host started without options uses every mechanism
    And a host started with each "--without" lacks that one alone
    And a host started without an unknown mechanism says what there is

  Scenario: A mechanism that is left out is not used
    Given a broker without "resuming" and one with it, over two data centres
    When a request that runs near by has to leave an engine without a twin
    Then the one without sends its tokens over, the other one resumes it

  Scenario: Commands leave out one mechanism in each copy of the tree
    When the commands for 2 sites, 1 day and 2 seeds are made
    Then each mechanism is left out in a copy of its own, by 4 plays
