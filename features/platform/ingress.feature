Feature: Connections of callers while an instance stops

  # Guards against a request that is passed on to a server although its connection can carry no answer any more.
  Scenario: A request crosses the end of its connection
    Given an instance that is told to stop while it answers a request on a kept connection
    When the caller sends its next request on that connection as soon as it has the answer
    Then the second request is not passed on, and the connection is closed

  Scenario: A request follows another one before the stop
    Given an instance that answers requests on a kept connection
    When the caller sends its next request on that connection as soon as it has the answer
    Then both requests are answered

  # Guards against whole requests that wait unread, since the process was stalled, when idle connections are closed.
  Scenario: A request arrives just before the idle connections are closed
    Given an instance that answers requests on a kept connection
    When the caller's request arrives, and before it is read the instance stops listening
    Then one request is answered

  Scenario: A request waits for its turn when the idle connections are closed
    Given an instance that answers requests on a kept connection
    When the caller's request arrives, and while it waits for its turn the instance stops listening
    Then one request is answered

  # Guards against a connection that is closed with unread input, which takes the refusal away from its client.
  Scenario: A caller goes on sending a body that is too large
    Given an instance that answers requests on a kept connection
    When the caller sends a body of 8000000 bytes, and reads its answer at the end
    Then it is refused with status 413, without a reset

  # Guards against a planned stop that cuts an answer which its caller is still reading.
  Scenario: The instance stops listening while an answer of 8000000 bytes is being read
    Given an instance that answers requests on a kept connection
    And a second connection that is idle
    When the caller reads its answer of 8000000 bytes only after the instance has stopped listening
    Then it gets all 8000000 bytes
    And the idle connection is closed

  # Guards against a caller whose header, taken in by Node's parser and refused by its writer, ends the router.
  Scenario Outline: A caller sends the header "<header>"
    Given an instance that answers requests on a kept connection
    When the caller sends a request with the header "<header>"
    Then it is answered with status <status>, and <accepted> requests are passed on

    Examples:
      | header         | status | accepted |
      | x foo: 1       | 400    | 0        |
      | x-foo: 1       | 200    | 1        |
      | x-foo: caf\u00e9 | 200    | 1        |

  # Guards against a caller that waits in vain because its request could not be handed over.
  Scenario: An unexpected error meets a request before it is accepted
    Given an instance in which each request meets an unexpected error
    When the caller sends its next request on that connection as soon as it has the answer
    Then both requests are answered with status 503, and the errors are logged
