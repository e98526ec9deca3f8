Feature: The choice of a path over ranges of layers

  Scenario Outline: Ranges of which parts are used
    Given cards "<cards>"
    When a path for <tokens> tokens is chosen from kl-hall
    Then it is "<path>"

    Examples: name, layers, milliseconds a layer, room in tokens times layers
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
    # Symptom: every answer of a data centre is late, and those of the others.
    # Sequence: it loses some layers; paths begin there and end elsewhere, and
    # the pipe that carries their prompts between the two is soon full.
    Given cards "<cards>"
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
    # Symptom: a token skips a layer, or runs one twice.
    When paths are chosen over random ranges
    Then each runs every layer once and in order, within what is held and free
    And none costs more than the best of all paths tried one by one

  @fuzz
  Scenario Outline: Any layout of a deployment
    # Symptom: a path is refused or dear, though there is a better one that
    # nobody thought of. Large layouts: the search that tries every path ends
    # for a few engines only.
    When paths are chosen over random layouts of <engines> engines in <places> data centres, <room>
    Then each has room and costs no more than the path of the search by every part

    Examples:
      | engines | places | room      |
      | 12      | 1      | plenty    |
      | 24      | 1      | scarce    |
      | 30      | 3      | plenty    |
      | 30      | 3      | scarce    |
