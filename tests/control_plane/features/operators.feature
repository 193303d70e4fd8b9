Feature: Operators who send again, at the same time and under one number
  An order that was taken is acknowledged again or left without a clear answer, never refused.

  Background:
    Given a fleet in service

  Scenario Outline: Orders on one version under one number
    When <count> operators send different changes under one number at once
    Then one of them is acknowledged and all others are refused
    And every machine reads back the one that was acknowledged

    Examples:
      | count |
      | 2     |
      | 4     |
      | 8     |

  Scenario Outline: Most answers are lost on their way
    Given 7 of 10 answers to operators are lost
    When <count> operators send different changes under one number at once
    Then one of them is acknowledged and all others are refused
    And every machine reads back the one that was acknowledged

    Examples:
      | count |
      | 2     |
      | 8     |

  Scenario: The machine that was asked dies before it answers
    When an operator's order is on its way at a machine that is killed
    Then the order is acknowledged at another machine
    And sending it again everywhere is acknowledged

  Scenario: The head dies with eight orders under way
    When 8 operators send different changes under one number at once
    And the head is killed
    Then one of them is acknowledged and all others are refused

  Scenario: Two processes of one machine number their calls alike
    When an operator asks a machine that is killed, and another operator asks its next process
    Then each operator gets the answer to its own order

  Scenario: An old order comes again hundreds of changes later
    Given 300 changes have been made since the first
    When the first order is sent again
    Then it is not refused
