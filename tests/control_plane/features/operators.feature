Feature: Operators who submit changes concurrently, and resubmit them
  A resubmitted change that was accepted is acknowledged again or gets an unclear answer; it is never refused.

  Background:
    Given a fleet in service

  Scenario Outline: Competing changes with one generation
    When <count> operators submit different changes with one generation at once
    Then one of them is acknowledged and all others are refused
    And the acknowledged change is read at every machine

    Examples:
      | count |
      | 2     |
      | 4     |
      | 8     |

  Scenario Outline: Most answers are lost
    Given 7 of 10 answers to operators are lost
    When <count> operators submit different changes with one generation at once
    Then one of them is acknowledged and all others are refused
    And the acknowledged change is read at every machine

    Examples:
      | count |
      | 2     |
      | 8     |

  Scenario: A machine is killed before it answers
    When an operator's change is in flight at a machine that is killed
    Then the change is acknowledged at another machine
    And it is acknowledged again at every machine

  Scenario: The head is killed with eight changes in flight
    When 8 operators submit different changes with one generation at once
    And the head is killed
    Then one of them is acknowledged and all others are refused

  Scenario: Two processes of one machine use the same call numbers
    When operators submit changes to a machine that is killed and to its next process
    Then each operator gets the answer to its own change

  Scenario: An old change is resubmitted hundreds of changes later
    Given 300 changes have been made since the first
    When the first change is submitted again
    Then it is not refused
