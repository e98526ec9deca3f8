@fuzz
Feature: Connections through other hosts while links and upstreams fail

  Scenario: What can be reached is reached, and nothing else
    # Guards against hosts that believe a helper that is cut off itself, that
    # keep to helpers after their links are back, and that nobody helps.
    When the tunnels machine runs 150 histories of 40 steps
    Then the oracle found nothing
