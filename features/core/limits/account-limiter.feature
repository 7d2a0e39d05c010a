Feature: An account's limit holds over all instances
  Scenario Outline: <demand> demand at <load> times the limit
    When the limit is run with "<demand>" demand at <load> times the limit for seed 1
    Then no second admits more than <most> times the limit
    And at most <unused> of it stays unused

    Examples: the bound is the limit, what was lent and not expired, and the draw of a second
      | demand   | load | most | unused |
      | even     | 2    | 1.1  | 0.05   |
      | skewed   | 2    | 1.1  | 0.1    |
      | shifting | 2    | 1.1  | 0.3    |
      | cut-off  | 2    | 1.1  | 0.4    |

  Scenario: A cut-off domain falls back to its own share
    When the limit is run with "cut-off" demand at 2 times the limit for seed 2
    Then no second admits more than 1.1 times the limit
