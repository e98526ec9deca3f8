@fuzz
Feature: Gossip between entry hosts

  Scenario: Newer entries win and dead hosts are forgotten
    # Guards against a dead host that is listed for ever and an old mark that
    # returns, after late or lost messages and replaced hosts: entries looked
    # new to each receiver, or were applied in order of arrival.
    When the membership machine runs 200 histories of 60 steps
    Then the oracle found nothing
