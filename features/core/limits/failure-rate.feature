Feature: An unexpected failure ends the process only if it repeats

  Scenario Outline: <count> failures, one every <ms> ms
    When <count> unexpected failures occur, one every <ms> ms
    Then the process <result>

    Examples:
      | count | ms   | result   |
      | 1     | 100  | goes on  |
      | 4     | 100  | goes on  |
      | 5     | 100  | restarts |
      | 20    | 3000 | goes on  |
