Feature: The retry-after delay of refused callers ends when they are likely to be served
  # Callers are refused like this in a burst that exceeds the memory of all servers, when a failure domain is
  # cut off, and in a retry storm.

  Scenario Outline: <case>
    Given <refused> of 40 requests per second are refused for 4 seconds
    When a caller with <left> ms left is refused
    Then its retry-after delay is <from> to <to> ms

    Examples:
      | case                                      | refused | left  | from | to   |
      | hardly any request is refused             | 1       | 20000 | 300  | 900  |
      | half of the requests are refused          | 20      | 20000 | 2300 | 4300 |
      | all requests are refused                  | 40      | 20000 | 3600 | 6000 |
      | a caller with little time retries soon    | 40      | 900   | 160  | 270  |

  Scenario Outline: Of two ranks, <case>
    Given <first> of 4 requests per second of rank 0 and <second> of 4 of rank 2 are refused for 4 seconds
    When a caller of each rank with 20000 ms left is refused
    Then the retry-after delay of rank 0 is <from> to <to> ms, and that of rank 2 is <relation>

    Examples:
      | case                                                    | first | second | from | to   | relation |
      | the one that is refused more often comes back later     | 0     | 4      | 300  | 2300 | longer   |
      | few requests in a shortage for all do not look like one | 4     | 4      | 3600 | 6000 | as long  |

  Scenario: A few callers of one rank that are refused at the same time retry at different times
    Given 4 of 4 requests per second of rank 0 and 4 of 4 of rank 2 are refused for 4 seconds
    When 4 callers of rank 2 with 20000 ms left are refused
    Then their retries are at least 250 ms apart

  Scenario: Callers refused at the same time retry at different times
    Given 40 of 40 requests per second are refused for 4 seconds
    When 40 callers with 20000 ms left are refused
    Then at most 16 of them retry in any half second

  Scenario: A past shortage no longer lengthens the delay
    Given 40 of 40 requests per second are refused for 4 seconds
    And 0 of 40 requests per second are refused for 8 seconds
    When a caller with 20000 ms left is refused
    Then its retry-after delay is 300 to 1100 ms
