Feature: Retries of all instances together stay within the allowance
  Every request needs a retry, as in a retry storm after half of the servers failed.

  Scenario Outline: <instances> instances divide the saved retries
    When <instances> instances that allow 0.2 retries per request and save <saved> retries in total receive <requests> requests that all need a retry
    Then at most <most> retries are sent

    Examples: the bound is 0.2 per request plus the saved retries
      | instances | saved | requests | most |
      | 6         | 196   | 600      | 316  |
      | 66        | 316   | 6000     | 1516 |
