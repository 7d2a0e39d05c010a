Feature: One instance of a failure domain follows the store for all of it
  Scenario Outline: <case>
    Given an instance that is its domain's hub: <hub>, and hears of store answers <age> ms old
    When <ms> ms pass
    Then it follows the store: <follows>

    Examples:
      | case                                            | hub | age   | ms   | follows |
      | the hub follows                             | yes    | 0     | 700  | yes     |
      | others hear from it                             | no     | 300   | 9000 | no      |
      | a process that starts asks its peers first      | yes    | 0     | 100  | no      |
      | when nobody hears from the store, all try       | no     | 4500  | 700  | yes     |

  Scenario: A hub that was passed over for a moment goes on
    Given an instance that is its domain's hub: yes, and hears of store answers 0 ms old
    When 700 ms pass
    And another is its domain's hub, with answers 300 ms old
    And 2000 ms pass
    Then it follows the store: yes

  Scenario: A former hub rests after a while
    Given an instance that is its domain's hub: yes, and hears of store answers 0 ms old
    When 700 ms pass
    And another is its domain's hub, with answers 300 ms old
    And 5000 ms pass
    Then it follows the store: no
