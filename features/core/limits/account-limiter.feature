Feature: An account's limit holds across all instances
  Scenario Outline: <demand> demand at <load> times the limit
    When the limit is simulated with "<demand>" demand at <load> times the limit and seed 1
    Then more than 0.5 times the limit is admitted on average, and at most <most> times in any second
    And at most <unused> of the limit stays unused

    Examples: the bound covers the limit, lent shares that have not expired, and random variation of the arrivals per second
      | demand   | load | most | unused |
      | even     | 2    | 1.1  | 0.05   |
      | skewed   | 2    | 1.1  | 0.1    |
      | shifting | 2    | 1.1  | 0.3    |
      | cut-off  | 2    | 1.1  | 0.4    |

  Scenario: A failure domain that is cut off falls back to its own share
    When the limit is simulated with "cut-off" demand at 2 times the limit and seed 2
    Then more than 0.5 times the limit is admitted on average, and at most 1.1 times in any second
