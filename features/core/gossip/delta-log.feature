Feature: A delta contains only changes that the reader has not received
  Scenario Outline: <case>
    Given a delta log updated with "<updates>"
    When a reader reads at most <most> entries after sequence number <seen>
    Then it receives "<entries>" up to sequence number <sequence>

    Examples: each update is the complete state, as name=value
      | case                             | updates               | seen | most | entries  | sequence |
      | a new reader receives all        | a=1,b=2               | 0    | 9    | a=1 b=2  | 2        |
      | an up-to-date reader gets none   | a=1,b=2               | 2    | 9    |          | 2        |
      | only changes are sent            | a=1,b=2 a=1,b=3       | 2    | 9    | b=3      | 3        |
      | small changes are omitted        | a=100 a=101           | 1    | 9    |          | 1        |
      | a removed value is sent as 0     | a=1,b=2 b=2           | 2    | 9    | a=0      | 3        |
      | the next read returns the rest   | a=1,b=2,c=3           | 0    | 2    | a=1 b=2  | 2        |
      | the oldest change comes first    | a=1,b=2 a=5,b=2       | 0    | 1    | b=2      | 2        |

  Scenario: A reader that loses messages converges to the same state
    When 300 random updates reach a reader that loses 4 in 10 messages with seed 7
    Then the reader holds the writer's state within 5 percent
