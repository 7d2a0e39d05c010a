Feature: All instances together stay within one retry budget
  # The cases stand for a retry storm at every instance, an instance that loses its servers, and a failure
  # domain that is cut off.

  Scenario Outline: <case>
    Given <instances> instances that together may send <slack> retries per window plus one for every 5 requests, with 7 requests per second at each
    When <affected> of them consume every available retry, and reports arrive <reports>
    Then no window of 10 seconds contains more retries than allowed
    And in the first 10 seconds at least <least> retries were used

    Examples: an instance's even share of the first window is 47 retries among 6 instances and 19 among 66
      | case                                   | instances | slack | affected | reports                              | least |
      | a retry storm at every instance        | 6         | 196   | 6        | after 750 ms                         | 100   |
      | one affected instance uses the pool    | 6         | 196   | 1        | after 750 ms                         | 80    |
      | a third of the instances is cut off    | 6         | 196   | 6        | after 750 ms, but not across the cut | 80    |
      | no instance receives reports           | 6         | 196   | 6        | never                                | 50    |
      | a retry storm in a large fleet         | 66        | 316   | 66       | after 750 ms                         | 300   |
      | one affected instance of a large fleet | 66        | 316   | 1        | after 750 ms                         | 19    |
