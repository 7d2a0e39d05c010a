Feature: The queue is fair between accounts
  Scenario Outline: <case>
    When the queue receives "<entries>"
    Then it runs "<order>"

    Examples: id:account:weight:priority:deadline:cost
      | case                                  | entries                                                | order       |
      | accounts take turns                   | a1:a:1:0:9:10 a2:a:1:0:9:10 b1:b:1:0:9:10 b2:b:1:0:9:10 | a1 b1 a2 b2 |
      | a heavier account runs more           | a1:a:1:0:9:10 a2:a:1:0:9:10 b1:b:2:0:9:10 b2:b:2:0:9:10 | a1 b1 b2 a2 |
      | a costly request counts for more      | a1:a:1:0:9:30 a2:a:1:0:9:10 b1:b:1:0:9:10 b2:b:1:0:9:10 | a1 b1 b2 a2 |
      | priority goes first in an account     | a1:a:1:0:9:10 a2:a:1:5:9:10                            | a2 a1       |
      | then the earlier deadline             | a1:a:1:0:9:10 a2:a:1:0:3:10                            | a2 a1       |
      | priority counts only in its account   | a1:a:1:9:9:10 a2:a:1:9:9:10 b1:b:1:0:9:10              | a1 b1 a2    |

  Scenario: A noisy account does not delay a quiet one
    Given a noisy account has queued 500 requests and the first one has started
    When a quiet account queues one request
    Then at most 1 more noisy request runs before it
