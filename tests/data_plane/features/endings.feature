Feature: How requests end
  A request that was read gets one answer. No answer promises what is not proven, looks whole where it is not,
  or belongs to another request.

  Background:
    Given 3 workers

  Scenario: A worker answers
    Given a client has sent a non-idempotent request
    When the worker answers whole
    Then the client has the worker's whole answer
    And the request was sent 1 time

  Scenario: A worker is full
    Given a client has sent a non-idempotent request
    When the worker says that it has no room
    And the worker answers whole
    Then the client has the worker's whole answer
    And the request was sent 2 times

  Scenario: Another worker has taken over the address
    Given a client has sent a non-idempotent request
    When the worker says that it is another instance
    And the worker answers whole
    Then the client has the worker's whole answer
    And the request was sent 2 times

  Scenario: A worker breaks off a request that must not run again
    Given a client has sent a non-idempotent request
    When the worker breaks off
    Then the client is told that the request failed
    And the request was sent 1 time

  Scenario: A worker breaks off a request that may run again
    Given a client has sent an idempotent request
    When the worker breaks off
    And the worker answers whole
    Then the client has the worker's whole answer
    And the request was sent 2 times

  Scenario: A worker breaks off in the middle of its answer
    Given a client has sent a non-idempotent request
    When the worker sends a part of its answer
    And the worker breaks off
    Then the client is told that the request failed

  Scenario: A worker refuses without proof
    Given a client has sent a non-idempotent request
    When the worker answers 503 without proof
    Then the client is told that the request failed
    And the request was sent 1 time

  Scenario: All workers are full
    Given a client has sent a non-idempotent request
    When the worker says that it has no room
    And the worker says that it has no room
    And the worker says that it has no room
    Then the client is told to come back
    And the request was sent 3 times

  Scenario: A stream
    Given a client has sent a streaming request
    When the worker sends events 1 to 3
    And the worker ends the stream
    Then the client has the events 1 to 3 and their end

  Scenario: A worker breaks off a stream that cannot be resumed
    Given a client has sent a streaming request
    When the worker sends events 1 to 3
    And the worker breaks off
    Then the client has the events 1 to 3 and no end
    And the request was sent 1 time

  Scenario Outline: A worker breaks off a stream that can be resumed
    Given a client has sent a resumable request
    When the worker sends events 1 to <last>
    And the worker breaks off
    And the worker sends events <next> to 6
    And the worker ends the stream
    Then the client has the events 1 to 6 and their end
    And the request was sent 2 times
    And the latest worker was asked to go on after event <last>

    Examples:
      | last | next |
      | 1    | 2    |
      | 3    | 4    |
      | 5    | 6    |

  Scenario: A worker goes silent in a stream that can be resumed
    Given a client has sent a resumable request
    When the worker sends events 1 to 2
    And 3 seconds pass
    Then the request was sent 1 times
    When 2 seconds pass
    And the worker sends events 3 to 4
    And the worker ends the stream
    Then the client has the events 1 to 4 and their end
    And the request was sent 2 times

  Scenario Outline: The client leaves
    Given a client has sent <a request>
    When the client leaves
    And 5 seconds pass
    Then the worker's connection is over
    And the request was sent 1 time
    And nothing of the request is left

    Examples:
      | a request                |
      | a non-idempotent request |
      | an idempotent request    |
      | a streaming request      |
      | a resumable request      |

  Scenario: The client leaves in the middle of a stream
    Given a client has sent a resumable request
    When the worker sends events 1 to 2
    And the client leaves
    And 5 seconds pass
    Then the worker's connection is over
    And the request was sent 1 time
    And nothing of the request is left

  Scenario: The deadline passes
    Given a client has sent a non-idempotent request
    When 25 seconds pass
    Then the client is told that its time is over
    And the worker's connection is over
    And nothing of the request is left

  Scenario: A late answer arrives in the place of the next one
    Given a client has sent a non-idempotent request
    When the worker answers whole
    And the client sends its next request on the same connections
    And the worker sends its first answer again
    And the worker answers whole
    Then the client has two answers, each to its own request
