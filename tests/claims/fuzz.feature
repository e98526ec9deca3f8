@fuzz
Feature: A call that must not be repeated runs at most once

  Scenario: At most one arrival of an id is sent in random histories
    # Guards against a call that runs twice, with the same id at two hosts, lost
    # answers to appends, disagreement about the deciding host, late appends and
    # replaced hosts. A host must decide only after it has read the claim back,
    # and must ignore a released claim that is appended again.
    When the claims machine runs 300 histories of 60 steps
    Then the oracle found nothing
