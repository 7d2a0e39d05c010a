Feature: Retries stay within what all instances may use together
  Load pattern: half of the servers fail, so that every request asks for a retry (retry storm).

  Scenario Outline: <instances> instances share the slack of the users' window
    When <instances> instances with an allowance of 0.2 a request and a slack of <slack> in all see <requests> requests that all want a retry
    Then at most <most> retries are sent

    Examples: the bound is 0.2 a request and the slack
      | instances | slack | requests | most |
      | 6         | 196   | 600      | 316  |
      | 66        | 316   | 6000     | 1516 |
