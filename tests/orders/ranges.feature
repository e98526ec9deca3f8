Feature: Orders for layers, from one host at a time

  Background:
    Given the engines of "pg-hall", empty, and a host with the duty

  Scenario: The list fills up one engine at a time
    # Symptom: 35 layers on one card. Sequence: engines enter the list one by
    # one; the first round sees three of them. Cause: a layout made from those.
    When the engines enter the list over 1 s, with rounds in between
    Then no order was given before all of them were listed
    When rounds go on for 6 s
    Then every layer is reported as held

  Scenario: An order is done before the list shows it
    # Symptom: engines load the same layers twice. Sequence: the report says
    # done, the order is forgotten, the list still shows the engine empty.
    When rounds go on for 12 s while the list lags 2 s behind
    Then no engine was given an order twice

  Scenario: The duty lapses between two orders of a round
    # Symptom: two hosts order against each other. Sequence: the host is paused
    # in the middle of a round and another takes the duty.
    When the duty lapses after the first order of a round
    Then only one order was given

  Scenario: An engine is busy with an order it never answered
    # Symptom: an order is lost and never repeated. Sequence: the engine took
    # an earlier order without answering and is still loading.
    Given "a100-0" answers no orders and carries them out 4 s later
    When rounds go on for 20 s
    Then every layer is reported as held

  Scenario: What an engine reports is told to the other hosts
    When rounds go on for 12 s while the list lags 2 s behind
    Then the host has learned the layers of every engine that was ordered

  Scenario Outline: Every order that is done is logged as done
    # Symptom: orders without an end in the logs, 9 of 33 on a calm day. Cause:
    # the list showed an order done before its giver had asked the engine.
    When rounds go on for 12 s while the list lags <lag> s behind
    Then each order is logged as done once

    Examples:
      | lag |
      | 0   |
      | 2   |

  Scenario: The only holder of some layers turns many times slower
    # Symptom: all answers of a data centre are late until the engine is well
    # again, nine seconds later. Cause: it holds its layers, so nobody else was
    # given them.
    When rounds go on for 12 s
    And the only holder of some layers is too slow for prompt answers
    And rounds go on for 6 s
    Then its layers are held by others
