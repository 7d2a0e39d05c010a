Feature: Layers are held where requests need them, and memory is left for the requests
  Scenario Outline: <case>
    Given the reference fleet with "<lost>" lost
    When the layers of every failure domain are planned
    Then each failure domain holds every layer: "<each>"
    And the fleet holds every layer
    And every server's layers fit its memory and leave room for 15 requests of mean length

    Examples:
      | case                       | lost     | each |
      | the whole fleet            | none     | yes  |
      | one slow server is gone    | a-3      | yes  |
      | the fastest server is gone | c-0      | yes  |
      | a failure domain is gone   | domain b | no   |

  Scenario Outline: After the fleet is placed, <case>
    Given the reference fleet with "none" lost
    And the layers of every failure domain are planned
    When the layers of every failure domain are planned again with "<lost>" lost
    Then each failure domain holds every layer: "yes"
    And at most <orders> servers got an order
    And every server's layers fit its memory and leave room for 2 requests of mean length

    Examples: servers are lost one after another
      | case                                    | lost | orders |
      | the loss of a server is repaired        | a-1  | 4      |
      | the loss of the fastest one is repaired | c-0  | 6      |
      | the loss of a mid-range one is repaired | b-3  | 4      |

  Scenario: Nothing is ordered while every layer is held
    Given the reference fleet with "none" lost
    And the layers of every failure domain are planned
    When the layers of every failure domain are planned again with "none" lost
    Then at most 0 servers got an order

  Scenario: A new server takes the layers that the fewest servers of its domain hold
    Given servers "a:h100:0-29 a:h100:29-58 a:l4:58-70 a:l4:none"
    When the layers of failure domain "a" are planned
    Then server 3 is ordered to hold layers that include 72-78
