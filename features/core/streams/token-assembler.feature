Feature: Tokens are delivered once, in order, under the current epoch
  Scenario Outline: <case>
    When the assembler receives "<arrivals>"
    Then it delivers "<delivered>"
    And its verdicts are "<verdicts>"

    Examples: epoch:index, or "raise" for a new epoch
      | case                                     | arrivals                | delivered | verdicts                              |
      | in order                                 | 1:0 1:1 1:2             | 0 1 2     | delivered delivered delivered         |
      | early tokens are held                    | 1:1 1:2 1:0             | 0 1 2     | held held delivered                   |
      | repeated tokens are dropped              | 1:0 1:0 1:1             | 0 1       | delivered repeated delivered          |
      | a held token repeated is dropped         | 1:1 1:1 1:0             | 0 1       | held repeated delivered               |
      | an old epoch is dropped                  | 1:0 raise 1:1 2:1       | 0 1       | delivered stale-epoch delivered       |
      | held tokens are dropped with their epoch | 1:1 raise 2:0 2:1       | 0 1       | held delivered delivered              |
      | any epoch but the current one is stale   | 2:0 1:0                 | 0         | stale-epoch delivered                 |
