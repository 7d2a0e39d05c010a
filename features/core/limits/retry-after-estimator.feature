Feature: Callers that were refused come back when they are likely to be served
  # Load patterns: a burst over the memory of all servers, a domain cut off, a retry storm.

  Scenario Outline: <case>
    Given <refused> of 40 requests a second are refused for 4 seconds
    When a caller with <left> ms left is refused
    Then it shall come back after <from> to <to> ms

    Examples:
      | case                                      | refused | left  | from | to   |
      | hardly anyone is refused                  | 1       | 20000 | 300  | 900  |
      | half are refused                          | 20      | 20000 | 2300 | 4300 |
      | all are refused                           | 40      | 20000 | 3600 | 6000 |
      | a caller with little time comes back soon | 40      | 900   | 160  | 270  |

  Scenario: Callers that were refused together come back spread out
    Given 40 of 40 requests a second are refused for 4 seconds
    When 40 callers with 20000 ms left are refused
    Then no half of a second has more than 16 of their returns

  Scenario: A shortage that is over is forgotten
    Given 40 of 40 requests a second are refused for 4 seconds
    And 0 of 40 requests a second are refused for 8 seconds
    When a caller with 20000 ms left is refused
    Then it shall come back after 300 to 1100 ms
