Feature: A request runs on no more replicas than its route allows

  Scenario Outline: Streams run while <history>
    # Guards against a sound engine that breaks off a stream and is silent for a
    # second taken for one that has ended, so that a third one runs the request.
    Given a site of 3 hosts and 12 engines, with <per_s> streams a second
    When <history>
    Then no stream ran on more than 2 engines, and <least> ran on them

    Examples:
      | history                         | per_s | least |
      | all break off                   | 2     | 5     |
      | all break off and stall         | 2     | 5     |
      | each breaks off once and stalls | 1     | 2     |
