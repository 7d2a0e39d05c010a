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

  # Guards against a caller that waits in vain because its request could not be handed over.
  Scenario: An unexpected error meets a request before it is accepted
    Given an instance in which each request meets an unexpected error
    When the caller sends its next request on that connection as soon as it has the answer
    Then both requests are answered with status 503, and the errors are logged
