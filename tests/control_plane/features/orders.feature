Feature: Orders of several operators
  One of those who pick the same number wins. An order that is sent again ends as it did the first time, or gets
  no clear answer.

  Background:
    Given a core of 3 machines of which 1 may be lost
    And version 3 is in force

  Scenario Outline: Operators who pick the same number
    When <operators> operators put different versions 7 on top of 3 at once
    Then exactly one of them is acknowledged and the others are refused with 208
    And each of them ends the same when it is sent again

    Examples:
      | operators |
      | 2         |
      | 4         |
      | 8         |

  Scenario: The answer is lost with the head
    When 4 operators put different versions 7 on top of 3 at once
    And the head is lost before it answers
    And all of them send again
    Then exactly one of them is acknowledged and the others are refused with 208
    And each of them ends the same when it is sent again

  Scenario: All machines lose power
    When 4 operators put different versions 7 on top of 3 at once
    And all machines lose power and come back
    And all of them send again
    Then exactly one of them is acknowledged and the others are refused with 208
    And each of them ends the same when it is sent again

  Scenario: Another change has taken over
    When 2 operators put different versions 7 on top of 3 at once
    And version 9 is put on top of 7
    Then each of them ends the same when it is sent again
    And version 9 is in force everywhere

  Scenario: An order that overtakes the one that it builds on
    When version 9 is sent on top of 7 and at once version 7 on top of 3
    Then both are acknowledged
    And version 9 is in force everywhere

  Scenario: An order on top of a version that nobody knows
    When version 9 is put on top of 8
    Then it gets 303 and no refusal
    And version 3 is in force everywhere
