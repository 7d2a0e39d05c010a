Feature: The holder of a failure domain's lease orders every server

  # Guards against rounds that only ever reach the first servers of a failure domain.
  Scenario Outline: <servers> servers, of which the first <silent> do not answer
    Given a failure domain of <servers> servers without layers, of which the first <silent> do not answer
    When the lease is held for <ms> ms
    Then the other servers have got 1 order each, and the silent ones none
    And never more than 4 servers were probed at the same time

    Examples:
      | servers | silent | ms    |
      | 7       | 0      | 3000  |
      | 20      | 0      | 5000  |
      | 7       | 5      | 12000 |
