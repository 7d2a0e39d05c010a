# Guards against messages that are each within their own bound, but together take more memory than the process has.
Feature: All messages in progress share one budget of memory

  Scenario Outline: <load>
    Given a budget of 1000 kB
    When messages keep "<kept>"
    Then "<ended>" end, and the others keep at most 1000 kB

    Examples: NAME:KB is kept in one part; "wait" lets 2 s pass; "NAME:settle" is complete, "NAME:end" is over
      | load                                               | kept                                       | ended |
      | the budget is not spent                            | a:400 b:400                                |       |
      | the one who keeps most ends                        | a:300 b:500 c:300                          | b     |
      | one who adds last and keeps most ends itself       | a:300 b:300 c:500                          | c     |
      | small ones beside large ones go on                 | a:450 b:10 c:450 d:10 e:200                | a     |
      | several end until the rest fits                    | a:300 b:300 c:300 d:900                    | d     |
      | one that has stalled ends before a larger one      | a:300 wait b:500 c:300                     | a     |
      | the largest of those that have stalled             | a:200 b:300 wait c:400 d:200               | b     |
      | one that is complete and waits does not stall      | a:300 a:settle wait b:500 c:300            | b     |
      | one that is over gives its memory back             | a:600 a:end b:600                          |       |
      | the store's answer may keep its allowance of 500   | store:450 wait a:300 b:290                 | a     |
      | the store's answer without end is ended            | store:900 a:50 wait b:100                  | store |
