Feature: An instance that stood still asks before it gives out work again
  # The clock advances without timers while the process stands still. Work arrives first thing after it wakes.

  Scenario Outline: <case>
    Given an instance whose question is answered after "<answer>" ms
    When it runs for 1000 ms and stands still for <pause> ms
    And work arrives, before any timer
    Then the work begins <wait> ms later
    And it has asked <asked> times

    Examples: "never" gives no answer, "refused" fails at once
      | case                                         | answer  | pause | wait | asked |
      | a short pause                                | 20      | 300   | 0    | 0     |
      | a pause that is answered                     | 20      | 2000  | 20   | 1     |
      | the shortest pause that counts               | 20      | 600   | 20   | 1     |
      | nobody answers                               | never   | 2000  | 400  | 1     |
      | nobody can be asked                          | refused | 2000  | 0    | 1     |
      | an answer after the time limit               | 900     | 2000  | 400  | 1     |

  Scenario: A timer that fires late notices the pause without any work
    Given an instance whose question is answered after "20" ms
    When it runs for 1000 ms and stands still for 2000 ms
    And its timers fire for 500 ms
    And work arrives, before any timer
    Then the work begins 0 ms later
    And it has asked 1 times

  Scenario: A second pause while the answer is awaited begins the question anew
    Given an instance whose question is answered after "200" ms
    When it runs for 1000 ms and stands still for 2000 ms
    And work arrives, before any timer
    And it runs for 100 ms and stands still for 1000 ms
    And work arrives, before any timer
    Then all work begins 200 ms later
    And it has asked 2 times

  Scenario: What waits keeps its order
    Given an instance whose question is answered after "20" ms
    When it runs for 1000 ms and stands still for 2000 ms
    And work arrives, before any timer
    And work arrives, before any timer
    And work arrives, before any timer
    Then all work begins 20 ms later

  # Guards against requests that nobody begins any more, since an unexpected error met one that waited before them.
  Scenario: Work that fails keeps no other work from beginning
    Given an instance whose question is answered after "20" ms
    When it runs for 1000 ms and stands still for 2000 ms
    And work arrives that will fail with an unexpected error
    And work arrives, before any timer
    Then all work begins 20 ms later
    And the error of that work is logged
