Feature: Routes cover every layer once
  Scenario Outline: <case>
    Given the pipeline has 12 layers and local domain "h"
    And the servers "<servers>"
    And the busy times "<busy>"
    And the unusable servers "<unusable>"
    When a route is planned
    Then the route is "<route>"

    Examples: server:domain:from-to:layerMs
      | case                                                    | servers                 | busy | unusable | route        |
      | one server holds all                                    | a:h:0-12:1              |      |          | a:0-12       |
      | overlapping ranges are cut once                         | a:h:0-8:1 b:h:4-12:1.1  |      |          | a:0-8 b:8-12 |
      | the faster kind runs the overlap                        | a:h:0-8:2 b:h:4-12:1    |      |          | a:0-4 b:4-12 |
      | a busy server is passed over                            | a:h:0-12:1 b:h:0-12:1   | a=40 |          | b:0-12       |
      | the local domain is preferred at a slightly higher cost | a:h:0-12:1 b:o:0-12:0.9 |      |          | a:0-12       |
      | another domain is used if the local one costs much more | a:h:0-12:1 b:o:0-12:1   | a=60 |          | b:0-12       |
      | another domain runs the layers that the local one lacks | a:h:0-6:1 b:o:6-12:1    |      |          | a:0-6 b:6-12 |
      | an unusable server is passed over                       | a:h:0-12:1 b:h:0-12:3   |      | a        | b:0-12       |
      | a gap gives no route                                    | a:h:0-5:1 b:h:6-12:1    |      |          | none         |
      | no servers give no route                                |                         |      |          | none         |

  Scenario: A surviving stage keeps its layers
    Given the pipeline has 12 layers and local domain "h"
    And the servers "a:h:0-6:1 b:h:6-12:1 c:h:6-12:0.9 d:h:0-6:0.9"
    And the kept stages "a:0-6"
    When a route is planned
    Then the route is "a:0-6 c:6-12"

  Scenario: Random layouts always give a complete route or none
    When 400 random layouts are planned with seed 11
    Then each planned route covers every layer once on servers that hold them
