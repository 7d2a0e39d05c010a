Feature: Instances tell each other what they know
  Scenario: Work at the servers is summed over all instances
    Given 3 instances that know each other
    When each has 2 requests at server "s"
    Then within 1000 ms each counts 6 requests at server "s"

  Scenario: The work of an instance that is gone is not counted
    Given 3 instances that know each other
    When each has 2 requests at server "s"
    And instance 0 is gone for 4000 ms
    Then within 1000 ms the others count 4 requests at server "s"

  Scenario Outline: An instance without the store learns the <what> from a peer
    Given 3 instances that know each other
    When instance 0 learns the <what> from the store
    Then within 1000 ms all know the <what>

    Examples:
      | what                 |
      | configuration        |
      | entries of servers   |
      | leaving of a server  |
      | removal of a server  |

  Scenario: A process that started with an earlier clock is heard once the one before is silent
    Given 2 instances that know each other
    When instance 0 starts again after its clock went back
    Then within 100 ms all count 2 live instances

  Scenario: An instance that knows only a seed meets the others
    Given 2 instances that know each other
    When a third starts with the first as its seed
    Then within 4000 ms all count 3 live instances

  Scenario: In a large fleet, each instance has a few exchanges a second and counts all work
    Given 3 domains of 22 instances that know each other
    When each has 2 requests at server "s"
    Then within 3000 ms each counts 132 requests at server "s"
    And no instance begins more than 12 exchanges a second

  Scenario: Work goes on being counted when the hub of a domain is gone
    Given 3 domains of 4 instances that know each other
    When each has 2 requests at server "s"
    And instance 0 is gone for 4000 ms
    Then within 1000 ms the others count 22 requests at server "s"

  Scenario: A peer's older word changes nothing
    Given 2 instances that know each other
    When instance 0 learns the leaving of a server from the store
    And instance 1 learns an older entry of it
    Then within 1000 ms all know the leaving of a server

  Scenario: What an instance missed while it was cut off it learns afterwards
    Given 3 instances that know each other
    When instance 2 is cut off while instance 0 learns the leaving of a server, for 9000 ms
    Then within 4000 ms all know the leaving of a server
