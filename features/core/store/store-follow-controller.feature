Feature: One instance of each failure domain follows the store on behalf of the others
  Scenario Outline: <case>
    Given an instance that is the hub of its failure domain: <hub>, with peers that report a store answer <age> ms ago
    When <ms> ms pass
    Then it follows the store: <follows>

    Examples:
      | case                                          | hub | age  | ms   | follows |
      | the hub follows the store                     | yes | 0    | 700  | yes     |
      | the others rely on the hub                    | no  | 300  | 9000 | no      |
      | a new process asks its peers first            | yes | 0    | 100  | no      |
      | without a recent answer, all follow the store | no  | 4500 | 700  | yes     |

  Scenario: A hub that was replaced for a moment continues to follow the store
    Given an instance that is the hub of its failure domain: yes, with peers that report a store answer 0 ms ago
    When 700 ms pass
    And another instance becomes the hub, and peers report a store answer 300 ms ago
    And 2000 ms pass
    Then it follows the store: yes

  Scenario: A former hub stops following the store after a while
    Given an instance that is the hub of its failure domain: yes, with peers that report a store answer 0 ms ago
    When 700 ms pass
    And another instance becomes the hub, and peers report a store answer 300 ms ago
    And 5000 ms pass
    Then it follows the store: no
