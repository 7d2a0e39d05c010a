Feature: A prompt under which servers crash is not sent to one server after the other

  # Three crashes hold a prompt back; it may be on its way once more while the third one is examined.
  # Guards against retries that end a server each until the request's deadline.
  Scenario: One request, and then another with the same prompt
    Given 12 servers that end when they begin to answer the prompt "bad"
    When a stream with the prompt "bad" is requested
    Then at most 4 servers have ended, and its outcome is "unknown"
    When a stream with the prompt "bad" is requested
    Then no further server has ended, and its outcome is "not-run"
    When a stream with the prompt "sound" is requested
    Then no further server has ended, and its outcome is "complete"

  Scenario: A server that loses a connection but goes on
    Given 12 servers that reset the connection of the prompt "unlucky" 5 times, and go on
    When a stream with the prompt "unlucky" is requested
    Then at most 0 servers have ended, and its outcome is "complete"

  Scenario: A queued request
    Given 12 servers that end when they begin to answer the prompt "bad"
    When a stream with the prompt "bad" is requested
    Then a request with the prompt "bad" is refused before it is queued, and one with "sound" is not
