Feature: Placement of layers for the highest throughput

  Scenario Outline: The split of one chain
    # Guards against a fast host waiting for a slow one, as with even splits.
    Given machines with speed and room "<machines>"
    When <layers> layers are split
    Then the layers are "<counts>" at <rate> tokens/s, even split <even>

    Examples:
      | machines            | layers | counts | rate  | even  |
      | 300:20 100:20       | 16     | 12 4   | 25.0  | 12.5  |
      | 300:8 100:20        | 16     | 8 8    | 12.5  | 12.5  |
      | 100:4 100:4         | 16     | none   | 0     | 0     |
      | 200:20 200:20 100:9 | 20     | 8 8 4  | 25.0  | 16.7  |

  Scenario: A slow link bounds the chain
    Given machines with speed and room "300:20 100:20"
    And a link of the second that carries 5 tokens/s
    When 16 layers are split
    Then the chain runs at 5 tokens/s

  Scenario: Chains are spread over racks as the intent asks
    Given 4 racks with 4 equal hosts each
    When an intent asks for 4 chains over 4 racks
    Then the chains stand in 4 racks and the plan has nothing unmet

  Scenario: The plan of an intent that can't be met names what is missing
    Given 1 racks with 2 equal hosts each
    When an intent asks for 3 chains over 1 racks
    Then the plan has 1 chains and says "3 new chains wanted, 1 fit"

  Scenario: A second workspace on the same model causes no loads
    Given 2 racks with 4 equal hosts each
    When two workspaces ask for the same model
    Then the second plan loads nothing and names the first as sharing
