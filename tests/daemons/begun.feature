Feature: Answers that their callers have begun to get

  Scenario Outline: Streams run while <history>
    # Guards against a host that ends a begun answer though its upstream lives,
    # or gives it up though its caller has time.
    Given a site of 3 hosts and 8 engines, with 5 streams a second
    When <history>
    Then every stream that began is whole, and at least 8 ran meanwhile

    Examples:
      | history                              |
      | half pause, the others refuse        |
      | all pause                            |
      | half stand still, the others refuse  |
      | half are replaced                    |
      | half exit                            |
      | the service is dropped               |
