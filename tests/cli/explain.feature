Feature: Tracing a request through the logs of all hosts

  Scenario: A request on two hosts
    Given the log of host "kl-1"
      | at    | event            | request | fields                              |
      | 10.00 | request_admitted | r1      | route=notes                         |
      | 10.01 | path_chosen      | r1      | upstream=e1 path=e1:0-40,e2:40-80   |
      | 10.50 | attempt_failed   | r1      | why=cut reason=reset events=3       |
      | 10.51 | request_cut      | r1      | reason=stop events=3 total_s=0.51   |
      | 10.20 | request_admitted | r2      | route=notes                         |
    And the log of host "kl-2"
      | at    | event            | request | fields                                         |
      | 10.70 | request_admitted | r1      | route=notes                                    |
      | 10.71 | path_chosen      | r1      | upstream=e1 path=e1:0-40,e2:40-80              |
      | 10.72 | upstream_changed |         | upstream=e2 state=slow reason=pace             |
      | 10.72 | upstream_changed |         | upstream=e7 state=slow reason=pace             |
      | 12.00 | request_answered | r1      | status=200 first_s=0.1 gap_s=0.9 events=40     |
    When request "r1" is explained
    Then the story has 7 lines of request "r1" in order of time, from both hosts
    And it shows the change of "e2" and not the one of "e7"
    And it ends with "answered with 200, first event after 0.1 s, longest pause 0.9 s; attempt failed: reset; slow on its path: e2"

  Scenario Outline: How requests end
    Given the log of host "kl-1"
      | at    | event            | request | fields      |
      | 10.00 | request_admitted | r1      | route=notes |
      | 10.40 | <event>          | r1      | <fields>    |
    When request "r1" is explained
    Then it ends with "<end>"

    Examples:
      | event           | fields                                 | end                                                                    |
      | request_refused | kind=deadline reason=full waited_s=0.4 | refused as deadline after 0.4 s: full                                  |
      | request_cut     | reason=reset events=9 total_s=2        | cut after 9 events: reset                                              |
      | request_left    | events=2 silent_s=2 total_s=3          | its caller left after 3 s, having 2 events and waited 2 s for the next |
      | path_chosen     | upstream=e1 path=                      | not in these logs; the host may have been killed                       |

  Scenario: Who cut an answer, beside a change of the configuration
    # Guards against a cut of which the logs don't say who ended it.
    Given the log of host "kl-1"
      | at    | event                 | request | fields                               |
      | 10.00 | request_admitted      | r1      | route=notes                          |
      | 10.01 | path_chosen           | r1      | upstream=e1 path=e1:0-40             |
      | 10.20 | configuration_applied |         | version=7 routes=3                   |
      | 12.51 | request_cut           | r1      | reason=stop events=3 total_s=2.5 ended_by=host failed=e1 left_s=6.5 |
    And the log of host "kl-2"
      | at    | event                 | request | fields                               |
      | 10.30 | configuration_applied |         | version=7 routes=3                   |
    When request "r1" is explained
    Then the story has 3 lines of request "r1" in order of time, from host "kl-1"
    And it shows 1 change, of the configuration
    And it ends with "cut after 3 events: stop; its last attempt was ended by the host, with 6.5 s of the caller's time left; attempts: e1"

  Scenario: The host is killed
    Given the log of host "kl-1"
      | at    | event            | request | fields           |
      | 10.00 | request_admitted | r1      | route=notes      |
      | 10.40 | path_chosen      | r1      | upstream=e1 path= |
      | 11.90 | started          |         | address=a        |
    When request "r1" is explained
    Then it ends with "its host ended without logging a stop, killed or without power, and started again 1.5 s after the last line"

  Scenario: A request that was sent under several ids
    # Guards against engines that crash one after the other while no log line
    # says that they all crashed under the same request.
    Given the log of host "kl-1"
      | at    | event            | request | fields                         |
      | 10.00 | request_admitted | r1      | route=notes fingerprint=f1     |
      | 10.40 | request_admitted | r2      | route=notes fingerprint=f2     |
    And the log of host "kl-2"
      | at    | event            | request | fields                         |
      | 11.90 | attempt_failed   | r4      | brought=0 fingerprint=f1       |
      | 11.00 | request_admitted | r3      | route=notes fingerprint=f1     |
    When request "r1" is explained
    Then it names "r3, r4" as the same request

  Scenario: Lines that can't be read
    Given the log of host "kl-1"
      | at    | event            | request | fields      |
      | 10.00 | request_admitted | r1      | route=notes |
    And broken lines in it
    When `egretspur explain` is run for "r1" with a file and for "r9"
    Then it exits with 0 and 1 and says that 3 lines were skipped
