Feature: One instance of each failure domain follows the store on behalf of the others
  Scenario Outline: <case>
    Given an instance that <is> the hub of its failure domain, with peers that report that the store answered <age> ms ago
    When <ms> ms pass
    Then it <follows> the store

    Examples:
      | case                                          | is    | age  | ms   | follows |
      | the hub follows the store                     | is    | 0    | 700  | follows |
      | the others rely on the hub                    | isn't | 300  | 9000 | ignores |
      | a new process asks its peers first            | is    | 0    | 100  | ignores |
      | without a recent answer, all follow the store | isn't | 4500 | 700  | follows |

  Scenario: A hub that was replaced for a moment continues to follow the store
    Given an instance that is the hub of its failure domain, with peers that report that the store answered 0 ms ago
    When 700 ms pass
    And another instance becomes the hub, and peers report that the store answered 300 ms ago
    And 2000 ms pass
    Then it follows the store

  Scenario: A former hub stops following the store after a while
    Given an instance that is the hub of its failure domain, with peers that report that the store answered 0 ms ago
    When 700 ms pass
    And another instance becomes the hub, and peers report that the store answered 300 ms ago
    And 5000 ms pass
    Then it ignores the store

  # Guards against an instance that waits for the age of the last confirmation to run out after its hub is lost.
  Scenario: An instance that lost its hub follows the store within 1.3 seconds
    Given an instance that isn't the hub of its failure domain, with peers that report that the store answered 300 ms ago
    When 700 ms pass
    And no exchange with a peer succeeds for 1300 ms
    Then it follows the store
