Feature: Tokens and goodput as a fraction of the upper bound on answer tokens
  Scenario Outline: <user>, seed <seed>: at a load of half the bound, at least 0.8 of the load is generated
    When the fleet of "<user>" runs at load 0.5 and seed <seed> with the route policy "ours" for 12 seconds
    Then its tokens are at least 0.4 of the bound and every request that ended was answered completely

    Examples:
      | user       | seed |
      | shamshyrak | 2    |

  @known-red
  Scenario Outline: <user>, seed <seed>: goodput of 0.95 at load 1.0
    When the throughput bench measures "<user>" at load 1 and seed <seed> with the route policy "ours"
    Then its goodput is at least 0.95 of the bound

    Examples:
      | user       | seed |
      | shamshyrak | 1    |
      | shamshyrak | 3    |
      | vaku-paris | 1    |
      | vaku-paris | 3    |
