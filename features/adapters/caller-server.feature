Feature: The callers' server of our own interface answers whatever happens inside

  # Guards against a whole request that gets neither an answer nor a refusal because of an unexpected error.
  Scenario: An unexpected error meets a request on our own interface
    Given a callers' server in which minting a key meets an unexpected error
    When a caller asks it for a key
    Then the caller is told 502 "unknown" "internal-error", and the error is counted
