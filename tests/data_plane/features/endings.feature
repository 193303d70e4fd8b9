Feature: How requests end
  Each complete request gets one answer. No answer claims more than is proven, looks complete if it is not, or
  belongs to another request.

  Background:
    Given 3 workers

  Scenario: A worker answers
    Given a client has sent a non-idempotent request
    When the worker sends its complete answer
    Then the client has the worker's complete answer
    And the request was sent 1 time

  Scenario: A worker has no capacity
    Given a client has sent a non-idempotent request
    When the worker refuses for lack of capacity
    And the worker sends its complete answer
    Then the client has the worker's complete answer
    And the request was sent 2 times

  Scenario: Another worker has taken over the address
    Given a client has sent a non-idempotent request
    When the worker answers that it is another instance
    And the worker sends its complete answer
    Then the client has the worker's complete answer
    And the request was sent 2 times

  Scenario: A connection is reset under a request that must not be repeated
    Given a client has sent a non-idempotent request
    When the worker resets the connection
    Then the client gets a 502
    And the request was sent 1 time

  Scenario: A connection is reset under a request that may be repeated
    Given a client has sent an idempotent request
    When the worker resets the connection
    And the worker sends its complete answer
    Then the client has the worker's complete answer
    And the request was sent 2 times

  Scenario: A connection is reset in the middle of an answer
    Given a client has sent a non-idempotent request
    When the worker sends a part of its answer
    And the worker resets the connection
    Then the client gets a 502

  Scenario: A worker refuses without proof
    Given a client has sent a non-idempotent request
    When the worker answers 503 without proof that it did not run the request
    Then the client gets a 502
    And the request was sent 1 time

  Scenario: No worker has capacity
    Given a client has sent a non-idempotent request
    When the worker refuses for lack of capacity
    And the worker refuses for lack of capacity
    And the worker refuses for lack of capacity
    Then the client gets a 503 with Retry-After
    And the request was sent 3 times

  Scenario: A stream
    Given a client has sent a streaming request
    When the worker sends events 1 to 3
    And the worker ends the stream
    Then the client has the events 1 to 3 and their end

  Scenario: A connection is reset under a stream that cannot be resumed
    Given a client has sent a streaming request
    When the worker sends events 1 to 3
    And the worker resets the connection
    Then the client has the events 1 to 3 without an end
    And the request was sent 1 time

  Scenario Outline: A connection is reset under a stream that can be resumed
    Given a client has sent a resumable request
    When the worker sends events 1 to <last>
    And the worker resets the connection
    And the worker sends events <next> to 6
    And the worker ends the stream
    Then the client has the events 1 to 6 and their end
    And the request was sent 2 times
    And the latest worker was asked to resume after event <last>

    Examples:
      | last | next |
      | 1    | 2    |
      | 3    | 4    |
      | 5    | 6    |

  Scenario: A stream that can be resumed times out
    Given a client has sent a resumable request
    When the worker sends events 1 to 2
    And 3 seconds pass
    Then the request was sent 1 times
    When 2 seconds pass
    And the worker sends events 3 to 4
    And the worker ends the stream
    Then the client has the events 1 to 4 and their end
    And the request was sent 2 times

  Scenario Outline: The client disconnects
    Given a client has sent <a request>
    When the client disconnects
    And 5 seconds pass
    Then the worker's connection is closed
    And the request was sent 1 time
    And no resource is held for the request

    Examples:
      | a request                |
      | a non-idempotent request |
      | an idempotent request    |
      | a streaming request      |
      | a resumable request      |

  Scenario: The client disconnects in the middle of a stream
    Given a client has sent a resumable request
    When the worker sends events 1 to 2
    And the client disconnects
    And 5 seconds pass
    Then the worker's connection is closed
    And the request was sent 1 time
    And no resource is held for the request

  Scenario: The deadline passes
    Given a client has sent a non-idempotent request
    When 25 seconds pass
    Then the client gets a 504
    And the worker's connection is closed
    And no resource is held for the request

  Scenario: A late answer arrives in place of the next one
    Given a client has sent a non-idempotent request
    When the worker sends its complete answer
    And the client sends its next request on the same connections
    And the worker sends its first answer again
    And the worker sends its complete answer
    Then the client has two answers, each to its own request
