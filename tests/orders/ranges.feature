Feature: Layer orders from one host at a time

  Background:
    Given the engines of "pg-hall", empty, and a host with the duty

  Scenario: The list fills up one engine at a time
    # Guards against 35 layers on one accelerator: engines enter the list one by
    # one, and the first round makes a layout of the three it sees.
    When the engines enter the list over 1 s, with rounds in between
    Then no order was given before all of them were listed
    When rounds run for 6 s
    Then every layer is reported as held

  Scenario: An order is done before the list shows it
    # Guards against engines loading the same layers twice: the report says that
    # the order is done, the order is dropped, and the list still shows the
    # engine as empty.
    When rounds run for 12 s while the list lags 2 s behind
    Then no engine was given an order twice

  Scenario: The duty expires between two orders of a round
    # Guards against two hosts sending conflicting orders: the host is paused in
    # the middle of a round and another takes the duty.
    When the duty expires after the first order of a round
    Then only one order was given

  Scenario: An engine is busy with an order it never answered
    # Guards against an order that is lost and never repeated: the engine
    # accepted an earlier order without answering and is still loading.
    Given "a100-0" answers no orders and carries them out 4 s later
    When rounds run for 20 s
    Then every layer is reported as held

  Scenario: An engine that is to take layers has just crashed
    # Guards against seconds in which nobody loads the layers: the order was
    # never sent, but the plan counts on it until its load should be over.
    When rounds run for 12 s
    And the only holder of some layers is too slow to answer in time
    And the engine that is to take its layers has crashed
    And rounds run for 2 s
    Then its layers are held by others that answer

  Scenario: Layers that an engine reports are passed on to the host
    When rounds run for 12 s while the list lags 2 s behind
    Then the host has learned the layers of every engine that was ordered

  Scenario Outline: Every order that is done is logged as done
    # Guards against orders that are never logged as done: the list shows an
    # order as done before the host that sent it has polled the engine. This
    # affected 9 of 33 orders under light load.
    When rounds run for 12 s while the list lags <lag> s behind
    Then each order is logged as done once

    Examples:
      | lag |
      | 0   |
      | 2   |

  Scenario: The only holder of some layers becomes many times slower
    # Guards against late answers of a whole data centre until the engine
    # recovers, nine seconds later: it still holds its layers, so they are not
    # assigned to other engines.
    When rounds run for 12 s
    And the only holder of some layers is too slow to answer in time
    And rounds run for 6 s
    Then its layers are held by others
