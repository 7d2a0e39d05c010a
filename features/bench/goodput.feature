Feature: Goodput relative to the bound
  Scenario Outline: <user>, seed <seed>: at least half of the load is answered at half of the bound
    When the fleet of "<user>" runs at load 0.5 with seed <seed> under "ours" for 12 seconds
    Then its tokens are at least 0.4 of the bound and every answer was in time

    Examples:
      | user       | seed |
      | shamshyrak | 2    |

  @known-red
  Scenario Outline: <user>, seed <seed>: goodput of 0.95 at load 1.0
    When the throughput bench measures "<user>" at load 1 with seed <seed> under "ours"
    Then its goodput is at least 0.95 of the bound

    Examples:
      | user       | seed |
      | shamshyrak | 1    |
      | shamshyrak | 3    |
      | vaku-paris | 1    |
      | vaku-paris | 3    |
