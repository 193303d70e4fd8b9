Feature: Configuration on a chain of core machines
  A change is acknowledged once every member of the chain has it on disk, and is not lost after that.

  Background:
    Given a core of 3 machines of which 1 may be lost

  Scenario: A change is read back everywhere
    When the operator puts generation 1 on top of 0 at m2
    Then it is acknowledged
    And generation 1 is read at every machine
    And generation 1 is delivered at every machine

  Scenario: Two competing changes
    Given generation 1 is in force
    When the operator puts generation 2 and generation 3 on top of 1 at m1 and m3 at once
    Then exactly one of them is acknowledged and the other refused with 208

  Scenario: A resubmitted change
    Given generation 1 is in force
    And generation 2 is in force
    When the operator puts generation 1 on top of 0 at m3
    Then it is acknowledged
    And generation 2 is read at every machine

  Scenario: A resubmitted change after a repair
    Given generation 1 is in force
    And the head is lost and the chain repaired
    When the operator puts generation 1 on top of 0 at the new head
    Then it is acknowledged

  Scenario: An old generation
    Given generation 5 is in force
    When the operator puts generation 4 on top of 5 at m2
    Then it is refused with 207

  Scenario: A machine without a majority
    Given generation 1 is in force
    And m1 has been cut off for 2 seconds
    When the operator puts generation 2 on top of 1 at m1
    Then it is refused with 301 at once
    And a read at m1 is refused with 301 at once

  Scenario: The disk of the tail is lost while the others lose power
    Given generation 1 is in force
    When the tail loses its disk and all others lose power
    Then generation 1 is read at every machine
