Feature: Path search over ranges of layers

  Scenario Outline: Paths that use parts of ranges
    Given candidates "<cards>"
    When a path for <tokens> tokens is chosen from kl-hall
    Then it is "<path>"

    Examples: name, layers, milliseconds a layer, free memory in tokens times layers
      | cards                                                     | tokens | path            |
      | a 0-40 1 1e6 kl-hall, b 40-80 1 1e6 kl-hall               | 900    | a:0-40 b:40-80  |
      | a 0-50 1 1e6 kl-hall, b 30-80 2 1e6 kl-hall               | 900    | a:0-50 b:50-80  |
      | a 0-50 1 30e3 kl-hall, b 30-80 2 1e6 kl-hall              | 900    | a:0-30 b:30-80  |
      | a 0-40 1 1e6 kl-hall, b 40-80 1 1e4 kl-hall               | 900    | none            |
      | a 0-40 1 1e6 kl-hall                                      | 900    | none            |
      | a 0-40 1 1e6 kl-hall, b 41-80 1 1e6 kl-hall               | 900    | none            |
      | a 0-80 1 1e6 pg-hall, b 0-80 1.05 1e6 kl-hall             | 900    | b:0-80          |
      | a 0-80 1 1e6 kl-hall, b 20-60 9 1e6 kl-hall               | 900    | a:0-80          |

  Scenario Outline: Ranges in several data centres
    # Guards against late answers in several data centres. One of them loses
    # some layers, paths begin there and end elsewhere, and the link that
    # carries their prompts between the two is soon saturated.
    Given candidates "<cards>"
    When a path for 900 tokens is chosen from kl-hall
    Then it is "<path>"

    Examples:
      | cards                                                                                          | path                   |
      | a 0-40 1 1e6 kl-hall, b 0-40 1 1e6 pg-hall, c 40-80 1 1e6 pg-hall                              | b:0-40 c:40-80         |
      | a 0-40 1 1e6 kl-hall, b 0-40 1.3 1e6 pg-hall, c 40-80 1 1e6 pg-hall                            | a:0-40 c:40-80         |
      | a 0-20 1 1e6 kl-hall, b 20-40 1 1e6 kl-hall, c 20-40 1.1 1e6 pg-hall, d 40-80 1 1e6 cj-hall    | a:0-20 b:20-40 d:40-80 |
      | a 0-40 1 1e6 kl-hall, b 20-40 1 1e6 kl-hall, c 0-40 1.1 1e6 pg-hall, d 40-80 1 1e6 pg-hall     | c:0-40 d:40-80         |

  @fuzz
  Scenario: Any ranges
    # Guards against a token that skips a layer or runs one twice.
    When paths are chosen over random ranges
    Then each runs every layer once and in order, within what is held and free
    And none costs more than the best of all paths tried one by one

  @fuzz
  Scenario Outline: Any layout of a deployment
    # Guards against no path or a costly one where a cheaper one exists. These
    # layouts are too large for the search that tries every path.
    When paths are chosen over random layouts of <engines> engines in <places> data centres, <room>
    Then each has room and costs no more than the path of an exhaustive search

    Examples:
      | engines | places | room      |
      | 12      | 1      | plenty    |
      | 24      | 1      | scarce    |
      | 30      | 3      | plenty    |
      | 30      | 3      | scarce    |
