@fuzz
Feature: The list of upstreams, with entries from anyone

  Scenario: Only good entries of newest starts are used
    # Symptom: a good engine is not used, or one that does not exist is.
    # Sequence: entries of any form among good ones, restarts under the same
    # id, late entries. Cause: trust in whatever could be decoded.
    When the entries machine runs 120 histories of 40 steps
    Then the oracle found nothing
