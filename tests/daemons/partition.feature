Feature: Hosts that are cut off from all upstreams

  Scenario Outline: Some hosts are cut off, and their peers reach all upstreams
    # Guards against hosts that refuse all requests because their own links are
    # down, and against hosts with sound links that believe these.
    Given a site of 4 hosts, with 10 requests a second for each
    When hosts 1 and 3 are cut off from all upstreams for 8 s: <how>
    Then first tries at the other hosts are served throughout
    And first tries at hosts 1 and 3 are served from 3 s after the cut began
    And no request that must not be repeated ran twice
    And first tries at all hosts are served from 3 s after its end

    Examples:
      | how           |
      | silent        |
      | reset         |
      | kept          |
      | opened-silent |
      | opened-reset  |
      | opened-kept   |

  Scenario: All hosts of a data centre are cut off
    # Guards against a data centre that finds no way around within itself.
    Given a site of 4 hosts, the last 2 of them in another data centre, with 10 requests a second for each
    When hosts 1 and 2 are cut off from all upstreams for 8 s: reset
    Then first tries at the other hosts are served throughout
    And first tries at hosts 1 and 2 are served from 3 s after the cut began
    And no request that must not be repeated ran twice
