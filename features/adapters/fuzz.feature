Feature: No input ends the process
  Scenario Outline: Random <input> never throws anything unexpected
    When <runs> random inputs are given to the "<input>" parser with seed 5
    Then each is taken or refused with an error of its own

    Examples:
      | input          | runs |
      | ticket         | 1500 |
      | settings       | 1500 |
      | caller's body  | 3000 |
      | engine frames  | 3000 |
      | peer message   | 1000 |
      | idempotency key | 1000 |
