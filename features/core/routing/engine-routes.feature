Feature: Routes through an engine's servers
  Load patterns: a day's typical request rate, and a burst of prompts at once on mixed accelerators.

  Scenario: A typical load stays mostly in the local domain, with few stages per route
    Given the reference fleet with layers assigned by the planner
    When 120 requests of all domains are in progress
    Then every route runs each layer once, in order
    And 43 prompts per second keep the link between domains busy for at most half of the time
    And routes have at most 11 stages on average

  Scenario: A burst is spread over the servers before the memory of any is full
    Given the reference fleet with layers assigned by the planner
    When 180 requests of all domains are in progress
    Then every route runs each layer once, in order
    And no server has more requests than fit its memory

  Scenario: A domain that lost a layer uses the servers of another domain for it
    Given the reference fleet with layers assigned by the planner
    When the only server of domain "a" for some layers is lost
    And 1 request of domain "a" is in progress
    Then every route runs each layer once, in order

  Scenario: A full fleet accepts no more requests
    Given the reference fleet with layers assigned by the planner
    When 2000 requests of all domains are in progress
    Then some find no route, and no server has more requests than fit its memory

  Scenario Outline: A server that a route passes twice runs all layers in between: <stages>
    When stages "<stages>" are merged
    Then they are "<merged>"

    Examples:
      | stages                 | merged       |
      | x0-5 y5-9              | x0-5 y5-9    |
      | x0-5 y5-9 x9-12        | x0-12        |
      | x0-5 y5-9 x9-12 z12-20 | x0-12 z12-20 |

  Scenario Outline: A running request that loses "<lost>" keeps its first stage
    Given a route over three servers and a spare for each
    When the route is replanned without "<lost>"
    Then the new route is "<route>"

    Examples:
      | lost | route    |
      | s2   | s1 t2 s3 |
      | s3   | s1 s2 t3 |

  Scenario Outline: A server that keeps rejecting requests is <use> if <others>
    Given a route over three servers and a spare for each
    When "s2" has rejected requests for 2000 ms and "<lost>" is lost
    Then a new request's route is "<route>"

    Examples: servers leave one after another while the store is unavailable
      | use         | others                        | lost | route    |
      | passed over | another holds its layers      | t3   | s1 t2 s3 |
      | used        | no other one holds its layers | t2   | s1 s2 s3 |

  Scenario: A request whose domain lost a layer runs entirely in another domain, not over the link between them
    # This happens when a domain's servers leave one after another. Prompts over the shared link between
    # domains would wait for each other.
    Given the reference fleet with layers assigned by the planner
    When the only server of domain "a" for some layers is lost
    And 30 requests of domain "a" are in progress
    Then every route stays in one domain
