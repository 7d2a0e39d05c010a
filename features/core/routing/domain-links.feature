Feature: Instances share the links between failure domains
  # A prompt of usual length with its answer takes 24 ms of a link of 13,000 Mbit/s, one transfer after another. When a
  # domain has lost a layer, all of its streams would cross at once; what waits longer than callers is lost.

  Scenario Outline: <case>
    Given <instances> instances that share a link between two domains, after <idle> ms without a stream
    When streams that would cross it begin at <rate> per second for 8 seconds
    Then the transfers wait for at most <wait> ms
    And the link is in use for <used> of 100

    Examples: callers of a stream expect its first event within 500 ms
      | case                                                | instances | idle | rate | wait | used     |
      | a link that carries all streams withholds few       | 6         | 0    | 20   | 500  | 25 to 75 |
      | a few instances with far more streams than it takes | 6         | 0    | 140  | 500  | 25 to 75 |
      | many instances, each with few streams               | 80        | 0    | 140  | 500  | 25 to 75 |
      | many instances that have all been idle              | 80        | 9000 | 600  | 500  | 25 to 75 |

  Scenario: A route crosses to another domain only with an allowance
    Given a route over servers of two domains, and no other
    When more streams begin at once than the link may carry
    Then some are refused for want of a route, and those that are sent fit the link
