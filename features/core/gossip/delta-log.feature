Feature: Exchanges carry only what the addressee has not seen
  Scenario Outline: <case>
    Given a delta log that took "<updates>"
    When a reader that has seen <seen> asks for at most <most> entries
    Then it gets "<entries>" up to <sequence>

    Examples: each update is the whole state, name=value
      | case                             | updates               | seen | most | entries  | sequence |
      | everything to a new reader       | a=1,b=2               | 0    | 9    | a=1 b=2  | 2        |
      | nothing to one that has seen all | a=1,b=2               | 2    | 9    |          | 2        |
      | only what changed                | a=1,b=2 a=1,b=3       | 2    | 9    | b=3      | 3        |
      | small changes are left out       | a=100 a=101           | 1    | 9    |          | 1        |
      | a removal is a zero              | a=1,b=2 b=2           | 2    | 9    | a=0      | 3        |
      | the rest follows next time       | a=1,b=2,c=3           | 0    | 2    | a=1 b=2  | 2        |
      | the oldest change goes first     | a=1,b=2 a=5,b=2       | 0    | 1    | b=2      | 2        |

  Scenario: A reader that loses messages ends with the same state
    When 300 random updates reach a reader that loses 4 in 10 messages with seed 7
    Then the reader holds the writer's state within 5 percent
