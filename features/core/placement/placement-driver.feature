Feature: An order is carried out once, even if its answer is lost
  Scenario Outline: <case>
    Given a failure domain whose only server holds no layers
    When orders are answered "<answers>" and reports say "<reports>"
    Then the orders sent within 12 seconds state these numbers of accepted orders: <counts>

    Examples: a report states the number of accepted orders and the layers held
      | case                                                                   | answers        | reports | counts |
      | an accepted order is not repeated                                      | taken          | 1:0-80  | 0      |
      | an order that conflicts with an earlier one is sent with the new count | conflict,taken | 3:none  | 0,3    |
      | a lost answer: the server reports no accepted order                    | unknown,taken  | 0:none  | 0,0    |
      | a lost answer: the server carries out the order                        | unknown        | 1:0-80  | 0      |

  Scenario: No order is sent without the lease
    Given a failure domain whose only server holds no layers
    And another instance holds the lease
    When orders are answered "taken" and reports say "0:none"
    Then the orders sent within 12 seconds are: none
