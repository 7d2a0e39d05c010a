Feature: The callers' server of our own interface answers whatever happens inside

  # Guards against a whole request that gets neither an answer nor a refusal because of an unexpected error.
  Scenario: An unexpected error meets a request on our own interface
    Given a callers' server in which minting a key meets an unexpected error
    When a caller asks it for a key
    Then the caller is told 502 "unknown" "internal-error", and the error is counted

  # Guards against an answer to the wrong request, and against a false promise that a request has not run.
  Scenario Outline: <what> follows a completion in progress on our own interface
    Given a callers' server that runs completions until it is told that they end
    When a caller asks for a completion, and then sends "<what>"
    And the completion ends after <ms> ms
    Then the caller has the completion alone, and the server has closed the connection

    Examples: heads may take 5 s
      | what                      | ms   |
      | bytes that are no request | 200  |
      | half a head               | 7000 |
