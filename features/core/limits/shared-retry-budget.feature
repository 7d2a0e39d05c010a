Feature: All instances together keep to one retry budget
  # Load patterns: a retry storm at every instance, servers of one instance lost, a domain cut off.

  Scenario Outline: <case>
    Given <instances> instances with <slack> retries a window and a fifth of their requests, 7 requests a second each
    When <storming> of them want as many retries as they get, and hear of each other <hearing>
    Then no window of 10 seconds has more retries than allowed
    And in the first 10 seconds at least <least> retries were used

    Examples: an even share of the first window is 47 retries in the small fleet and 19 in the large one
      | case                                      | instances | slack | storming | hearing      | least |
      | a storm everywhere                        | 6         | 196   | 6        | after 750 ms | 100   |
      | one instance is hit and gets the pool     | 6         | 196   | 1        | after 750 ms | 80    |
      | a third of them is cut off                | 6         | 196   | 6        | in two parts | 80    |
      | nobody hears anything                     | 6         | 196   | 6        | never        | 50    |
      | a storm in a large fleet                  | 66        | 316   | 66       | after 750 ms | 300   |
      | one instance of a large fleet is hit      | 66        | 316   | 1        | after 750 ms | 19    |
