Feature: What only instances know outlasts the end of all of them at the same moment

  # Guards against a prompt part that ends three more servers after every loss of all instances.
  Scenario Outline: <case>
    Given 3 instances, the first of which is the hub, with a store
    When 5 servers crash under part "bad" and a server names a limit of 40 requests a second, and all instances end <ms> ms later
    And new instances start <awayMs> ms later, while the store <store>
    Then within <preparedMs> ms, and not before, they accept requests, and <outcome>

    Examples: a change is written within 50 ms, and then known at the first request
      | case                                                          | ms   | awayMs | store                    | preparedMs | outcome                                              |
      | all are killed just after the last crash                      | 100  | 500    | answers                  | 0          | refuse part "bad" and know the limit of 40           |
      | all are killed and are back later                             | 2000 | 8000   | answers                  | 0          | refuse part "bad" and know the limit of 40           |
      | the store is away at first                                    | 100  | 500    | is away for 1000 ms      | 1000       | refuse part "bad" and know the limit of 40           |
      | the store answers no reads of what was kept                   | 100  | 500    | is away for 60000 ms     | 3000       | know nothing                                         |
      | the row was overwritten by something else                     | 100  | 500    | holds an invalid row     | 0          | know nothing                                         |
      | all are gone until the evidence and the limit have lapsed      | 2000 | 200000 | answers                  | 0          | know nothing                                         |

  Scenario: The store is written to rarely, only by the hub, and the row ends with what it holds
    Given 3 instances, the first of which is the hub, with a store
    When 5 servers crash under part "bad" and a server names a limit of 40 requests a second, and 60000 ms pass
    Then at most 12 writes were made, all by the hub
    And within 300000 ms the row is gone

  Scenario: A write that meets another instance's change is repeated
    Given 3 instances, the first of which is the hub, with a store
    When another instance changes the row while the hub writes what it knows of 5 crashes under part "bad"
    Then within 3000 ms the row holds 5 crashes

  # Guards against hundreds of instances that start while the store is away, each with several calls a second.
  Scenario: Starting instances try to read rarely while the store is away
    Given 3 instances, the first of which is the hub, with a store
    When the store is away for 9000 ms while all instances start again
    Then each has tried to read at most 9 times
