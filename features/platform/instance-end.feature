Feature: A process that ends before its requests tells their callers what became of them

  # Guards against whole requests that end without answer or refusal when a planned stop has used up its time.
  Scenario Outline: A request is <state> when the process has to end
    Given an instance that answers requests when it is told to
    When a request is "<state>", and the instance ends
    Then its caller got "<end>", and the connection is closed

    Examples: 503 promises that the request has not run
      | state                              | end                      |
      | passed on                          | 502 unknown              |
      | partly read                        | 503 not-run              |
      | passed on, with another behind it  | 502 unknown, 503 not-run |
      | answered in part                   | 200                      |
      | not there                          |                          |
