Feature: A stall of the process is told from the silence of servers
  # Guards against a stall that no log or metric shows, so that the silence it causes is put down to servers.
  # "run N" lets the timers fire for N ms, "stall N" lets N ms pass without timers, "apply N" is a configuration
  # that takes N ms to apply.

  Scenario Outline: <case>
    Given a process whose timers are watched for stalls
    When its loop does "<events>"
    Then the logged stalls are "<stalls>"
    And the longest stall is <longest> ms

    Examples:
      | case                                                     | events                               | stalls                                         | longest |
      | without a stall nothing is logged                        | run 1000                             |                                                | 0       |
      | a stall shorter than any silence                         | run 1000 stall 169 run 1000          |                                                | 0       |
      | the shortest stall that counts                           | run 1000 stall 170 run 1000          | 70 unknown                                     | 70      |
      | each stall is logged once                                | run 1000 stall 400 run 1000 stall 200 run 1000 | 300 unknown, 100 unknown             | 300     |
      | a configuration explains the stall                       | run 1000 apply 250 run 1000          | 250 apply-configuration of 257 routes          | 250     |
      | a step that ends before the timer is due counts as well  | run 1010 apply 80 run 1000           | 80 apply-configuration of 257 routes           | 80      |
      | the longest step of a stall explains it                  | run 1000 apply 20 apply 90 run 1000  | 90 apply-configuration of 257 routes           | 90      |
      | a step explains no later stall                           | run 1000 apply 20 run 1000 stall 300 run 1000 | 220 unknown                           | 220     |
      | a stall goes on while the process is held                | run 1000 stall 3000 run 1000         | 2900 unknown                                   | 2900    |
