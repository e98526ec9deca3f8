Feature: Which engine holds which layers

  Scenario Outline: An empty data centre
    # Guards against a chain that holds all layers and refuses every request:
    # accelerators filled with layers have no memory for requests.
    Given the empty engines of "<data centre>"
    When layers are planned
    Then every layer is held
    And every engine keeps room for at least 33000 tokens
    And a second plan orders nothing

    Examples:
      | data centre |
      | kl-hall     |
      | pg-hall     |
      | cj-hall     |

  Scenario: Many small engines beside a few large ones
    # Guards against a data centre whose capacity is that of one large engine:
    # copies on small ones lie at the ends of its range, and none in its middle.
    Given empty engines "a100 3, l40s 4, l4 24"
    When layers are planned
    And layers are planned
    Then every layer has at least 0.5 of the mean capacity for requests

  Scenario Outline: Any one engine is lost
    # Guards against a data centre without some layers for the time of a long
    # load: an engine dies and its layers go to the first engine found, so the
    # repair moves many layers or takes a fast engine off its own layers.
    Given the engines of "<data centre>" as planned
    Then whichever engine is lost, a plan holds every layer again
    And no engine loads more than 8 layers for it
    And every engine keeps room for at least 23000 tokens

    Examples:
      | data centre |
      | kl-hall     |
      | pg-hall     |
      | cj-hall     |

  Scenario: A gap of one layer
    # Guards against losing 15 layers because of a gap of one: a fast engine
    # whose layers a slow one also holds is moved to the gap; the slow one dies.
    Given engines
      | engine | layers |
      | a100-0 | 0-25   |
      | l40s-0 | 25-40  |
      | l40s-1 | 25-40  |
      | l4-0   | 41-48  |
      | a100-1 | 48-73  |
      | l4-1   | 73-80  |
    When layers are planned
    Then "l40s-0" is ordered to hold "25-41"
    And nothing else is ordered

  Scenario: Accelerators too small to hold the missing layers
    # Guards against a data centre that refuses every request after a repair:
    # an accelerator is filled with layers, though other data centres could
    # serve the requests.
    Given engines
      | engine | layers |
      | l40s-0 | 0-15   |
      | l40s-1 | 15-30  |
      | l40s-2 | 60-80  |
    When layers are planned
    Then every engine keeps room for at least 12000 tokens

  Scenario: A new engine is kept empty where another is about to leave
    # Guards against the layers of a replaced engine being available seconds
    # late: the new one is listed first and loads a copy of other layers, then
    # the old one leaves.
    Given engines
      | engine | layers |
      | a100-0 | 0-25   |
      | a100-1 | 25-50  |
      | l40s-0 | 50-65  |
      | l40s-1 | 65-80  |
      | l40s-2 | none   |
    And "l40s-2" has just been listed
    When layers are planned
    Then nothing else is ordered
    When "l40s-0" leaves and layers are planned
    Then "l40s-2" is ordered to hold "50-65"

  Scenario: Two ranges are lost and their engines return empty
    # Guards against a data centre that never holds all layers again: the larger
    # gap is split over all free engines, which leaves none for the other gap.
    Given engines
      | engine | layers |
      | a100-0 | 0-27   |
      | l4-0   | 52-60  |
      | l4-1   | 60-68  |
      | l4-2   | 68-75  |
      | a100-1 | none   |
      | l4-3   | none   |
    And all of them are in use
    And other data centres hold "0-80"
    When "a100-1, l4-3" are no longer in use and layers are planned
    Then "a100-1" is ordered to hold "27-52"
    And "l4-3" is ordered to hold "75-80"
    And nothing else is ordered

  Scenario: Engines in use are not moved while other data centres serve
    # Guards against losing two ranges to a burst and one lost engine: a copy in
    # use is ordered to hold other layers and refuses new requests until its
    # old ones are done.
    Given engines
      | engine | layers |
      | a100-0 | 0-25   |
      | a100-1 | 25-50  |
      | l40s-1 | 65-80  |
      | l4-0   | 0-7    |
      | l4-1   | 7-14   |
      | l4-2   | 14-21  |
      | l4-3   | 25-32  |
    And all of them are in use
    And other data centres hold "0-80"
    When layers are planned
    Then nothing else is ordered
    When "l4-0, l4-1, l4-2, l4-3" are no longer in use and layers are planned
    Then every layer is held

  Scenario: The neighbours of a gap are full
    # Guards against a data centre that refuses every request for good: a layer
    # is lost, and the engines next to it have no room, but others have.
    Given engines
      | engine | layers |
      | l4-0   | 1-12   |
      | l4-1   | 12-17  |
      | a100-0 | 17-37  |
      | a100-1 | 37-57  |
      | a100-2 | 57-80  |
    When layers are planned until nothing is ordered
    Then every layer is held
    And every engine keeps room for at least 12000 tokens

  @fuzz
  Scenario: Any engines with room for all layers, any losses
    When plans for random data centres are followed through losses that leave room
    Then every layer was held again after each loss

  @fuzz
  Scenario: Any engines, any losses
    When plans for random data centres are followed through random losses
    Then no accelerator is ever ordered to hold more than its memory
    And no plan takes away the last holder of a layer
