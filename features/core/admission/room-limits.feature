Feature: The prefill that a new prompt waits for is that of the busiest server on its route
  # Servers read 196 prompt tokens a millisecond over all layers; each holds 20 of the 80.

  Scenario Outline: <case>
    Given a route over servers with "<tokens>" prompt tokens in prefill
    Then a new prompt waits for <ms> ms

    Examples:
      | case                                                    | tokens                  | ms |
      | nothing is in prefill                                   | 0 0 0 0                 | 0  |
      | a prompt that passes all servers counts once            | 39200 39200 39200 39200 | 50 |
      | prompts of other routes that share one server           | 0 78400 39200 0         | 100 |
