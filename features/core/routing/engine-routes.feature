Feature: Routes through an engine's servers
  Load patterns: a day's usual stream of requests, and many prompts at once (burst) on mixed accelerators.

  Scenario: A usual load stays at home, in few stages
    Given the users' fleet placed by the planner
    When 120 requests of all domains are under way
    Then every route runs each layer once, in order
    And 43 prompts a second keep the link between domains busy for at most half of the time
    And the mean route has at most 11 stages

  Scenario: A burst is spread before any server's memory is full
    Given the users' fleet placed by the planner
    When 180 requests of all domains are under way
    Then every route runs each layer once, in order
    And no server has more requests than its memory holds

  Scenario: A domain that lost a layer borrows it from another domain
    Given the users' fleet placed by the planner
    When the only server of domain "a" for some layers is lost
    And 1 requests of domain "a" are under way
    Then every route runs each layer once, in order

  Scenario: A full fleet takes no more
    Given the users' fleet placed by the planner
    When 2000 requests of all domains are under way
    Then some find no route, and no server has more requests than its memory holds

  Scenario Outline: A server that a route would visit twice holds all layers in between: <stages>
    When stages "<stages>" are joined
    Then they are "<joined>"

    Examples:
      | stages              | joined         |
      | x0-5 y5-9           | x0-5 y5-9      |
      | x0-5 y5-9 x9-12     | x0-12          |
      | x0-5 y5-9 x9-12 z12-20 | x0-12 z12-20 |

  Scenario Outline: A running request that loses "<lost>" keeps its first stage
    Given three servers for a route and spares for each
    When the route is planned anew without "<lost>"
    Then the new route is "<route>"

    Examples:
      | lost | route         |
      | s2   | s1 t2 s3      |
      | s3   | s1 s2 t3      |

  Scenario Outline: A server that keeps turning requests away is <use> when <others>
    Given three servers for a route and spares for each
    When "s2" has turned requests away for 2000 ms and "<lost>" is lost
    Then a new request's route is "<route>"

    Examples: servers leave in series while the store is away
      | use         | others                         | lost | route    |
      | passed over | another holds its layers       | t3   | s1 t2 s3 |
      | asked       | nothing else holds its layers  | t2   | s1 s2 s3 |

  Scenario: A request whose domain lost a layer goes wholly to another domain, past the link between them
    # Load pattern: a domain's servers leave in series; prompts over the shared link would wait for each other.
    Given the users' fleet placed by the planner
    When the only server of domain "a" for some layers is lost
    And 30 requests of domain "a" are under way
    Then every route stays in one domain
