@fuzz
Feature: A call that must not be repeated runs at most once

  Scenario: One arrival of an id is sent in seeded histories
    # Symptom: two sitters before one house. Sequence: the same id at two
    # hosts, lost answers to appends, disagreement about who decides, late
    # appends, replaced hosts. Cause: deciding before the claim is read back,
    # or counting a released claim again.
    When the claims machine runs 300 histories of 60 steps
    Then the oracle found nothing
