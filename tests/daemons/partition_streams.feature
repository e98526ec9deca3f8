Feature: Hosts behind a middlebox that have streams only

  Scenario Outline: Connections of some hosts open and bring nothing
    # Guards against hosts that refuse all streams for want of engines, since
    # only their probes meet the middlebox and show nothing of the links.
    Given a site of 4 hosts and 4 engines, with 8 streams a second
    When hosts 1 and 3 are behind a middlebox for 9 s: <how>
    Then streams at all hosts are served from 3 s after it began

    Examples:
      | how           |
      | opened-silent |
      | opened-reset  |
