Feature: Retries of all instances together stay within the allowance
  Load pattern: half of the servers fail, so that every request needs a retry (retry storm).

  Scenario Outline: <instances> instances divide the slack of the retry window
    When <instances> instances with an allowance of 0.2 per request and a total slack of <slack> receive <requests> requests that all need a retry
    Then at most <most> retries are sent

    Examples: the bound is 0.2 per request plus the slack
      | instances | slack | requests | most |
      | 6         | 196   | 600      | 316  |
      | 66        | 316   | 6000     | 1516 |
