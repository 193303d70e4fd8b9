Feature: Competing changes of several operators
  One of several changes with the same generation is accepted. A resubmitted change gets its first result again,
  or an unclear answer.

  Background:
    Given a core of 3 machines of which 1 may be lost
    And version 3 is in force

  Scenario Outline: Operators who choose the same generation
    When <operators> operators put different versions 7 on top of 3 at once
    Then exactly one of them is acknowledged and the others are refused with 208
    And each of them gets the same result when it is submitted again

    Examples:
      | operators |
      | 2         |
      | 4         |
      | 8         |

  Scenario: The answer is lost with the head
    When 4 operators put different versions 7 on top of 3 at once
    And the head is lost before it answers
    And all of them submit their changes again
    Then exactly one of them is acknowledged and the others are refused with 208
    And each of them gets the same result when it is submitted again

  Scenario: All machines lose power
    When 4 operators put different versions 7 on top of 3 at once
    And all machines lose power and come back
    And all of them submit their changes again
    Then exactly one of them is acknowledged and the others are refused with 208
    And each of them gets the same result when it is submitted again

  Scenario: A later change is in force
    When 2 operators put different versions 7 on top of 3 at once
    And version 9 is put on top of 7
    Then each of them gets the same result when it is submitted again
    And version 9 is in force everywhere

  Scenario: A change arrives before the one that it builds on
    When version 9 is sent on top of 7 and at once version 7 on top of 3
    Then both are acknowledged
    And version 9 is in force everywhere

  Scenario: A change on top of an unknown version
    When version 9 is put on top of 8
    Then it gets 303 and is not refused
    And version 3 is in force everywhere
