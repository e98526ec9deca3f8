Feature: A request runs on no more replicas than its route allows

  Scenario Outline: Streams run while <history>
    # Guards against a sound engine that breaks off a stream and is silent for a
    # second taken for one that has ended, so that a third one runs the request.
    Given a site of 3 hosts and 8 engines, with 2 streams a second
    When <history>
    Then no stream ran on more than 2 engines, and 5 ran on them

    Examples:
      | history                 |
      | all break off           |
      | all break off and stall |
