@fuzz
Feature: Order lease with one active holder

  Scenario: Lease holders never overlap in seeded histories
    # Guards against two daemons sending orders to an engine at once, which
    # makes it flap between layouts. This happens if a lease is measured from
    # the wrong moment or checked too early. The histories contain pauses past
    # the lease, lost and late appends, restarts, lagging reads and clocks that
    # differ.
    When the lease machine runs 300 histories of 60 steps
    Then the oracle found nothing
