Feature: Parsers raise no unexpected error on random input
  An unexpected error drops a caller's connection without a refusal, and hides from an operator which line of
  a ticket or a settings file is wrong. Where no handler catches it, it ends the process and all its requests.

  Scenario Outline: Random input for <input> causes no unexpected error
    When <runs> random inputs are given to the "<input>" parser with seed 5
    Then each input is accepted or rejected with an expected error

    Examples:
      | input          | runs |
      | ticket         | 1500 |
      | settings       | 1500 |
      | caller's body  | 3000 |
      | engine frames  | 3000 |
      | peer message   | 1000 |
      | idempotency key | 1000 |
