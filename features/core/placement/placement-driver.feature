Feature: Orders reach servers once, whatever becomes of the answers
  Scenario Outline: <case>
    Given a domain whose only server is empty
    When orders are answered "<answers>" and reports say "<reports>"
    Then after 12 seconds the orders sent name <names> accepted orders

    Examples: a report says accepted orders and the layers held
      | case                                                       | answers  | reports     | names |
      | a taken order is not repeated                              | taken    | 1:0-80      | 0     |
      | an order that came after another is sent with the new count | conflict,taken | 3:none | 0,3   |
      | a lost answer: the server says that it has no order        | unknown,taken  | 0:none | 0,0   |
      | a lost answer: the server carries the order out            | unknown  | 1:0-80      | 0     |

  Scenario: No order leaves without the lease
    Given a domain whose only server is empty
    And the lease is held elsewhere
    When orders are answered "taken" and reports say "0:none"
    Then after 12 seconds the orders sent name no accepted orders
