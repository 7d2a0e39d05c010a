Feature: All instances together stay within one retry budget
  # Load patterns: a retry storm at every instance, failed servers of one instance, a failure domain cut off.

  Scenario Outline: <case>
    Given <instances> instances with <slack> retries per window plus a fifth of the requests, and 7 requests per second each
    When <storming> of them consume every available retry, and instances receive reports of each other <reports>
    Then no window of 10 seconds contains more retries than allowed
    And in the first 10 seconds at least <least> retries were used

    Examples: an even share of the first window is 47 retries in the small fleet and 19 in the large one
      | case                                      | instances | slack | storming | reports      | least |
      | a retry storm at every instance           | 6         | 196   | 6        | after 750 ms | 100   |
      | one affected instance uses the pool       | 6         | 196   | 1        | after 750 ms | 80    |
      | a third of the instances is cut off       | 6         | 196   | 6        | in two parts | 80    |
      | no instance receives reports              | 6         | 196   | 6        | never        | 50    |
      | a retry storm in a large fleet            | 66        | 316   | 66       | after 750 ms | 300   |
      | one affected instance of a large fleet    | 66        | 316   | 1        | after 750 ms | 19    |
