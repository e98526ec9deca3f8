@fuzz
Feature: Engines that stood still, on hosts whose plain replicas fail

  Scenario: Streams are served once engines run again
    # Guards against streams that are refused while all engines run.
    When the recovering machine runs 20 histories of 12 steps
    Then the oracle found nothing
