@fuzz
Feature: What entry hosts tell each other

  Scenario: Entries keep their order and the dead are forgotten
    # Symptom: a dead host is listed for ever, or an old mark comes back.
    # Sequence: late and lost messages, replaced hosts, time. Cause: entries
    # that become young again at each receiver, or taken in order of arrival.
    When the membership machine runs 200 histories of 60 steps
    Then the oracle found nothing
