Feature: Admission immediately refuses a request that cannot meet its deadline or finds the queue full
  Scenario Outline: <case>
    Given an admission queue with 2 slots
    And past runs "<past>"
    And a pause of <pause> ms
    And 2 running and <waiting> waiting requests of 100 tokens of account "a"
    When account "<account>" asks for 100 tokens within <deadline> ms
    Then the answer is "<answer>"

    Examples: past runs are tokens:ms
      | case                                        | past                    | pause | waiting | account | deadline | answer               |
      | without past runs nothing is predicted |  | 0 | 0 | a | 1000 | queued |
      | enough time for its own run | 100:1000 100:1000 | 0 | 0 | a | 1500 | queued |
      | not enough time for its own run | 100:1000 100:1000 | 0 | 0 | a | 900 | deadline-unreachable |
      | not enough time behind its own account | 100:1000 100:1000 | 0 | 8 | a | 4000 | deadline-unreachable |
      | another account is served earlier | 100:1000 100:1000 | 0 | 8 | b | 4000 | queued |
      | short answers do not distort the prediction | 1:100 1:100 100:1000 100:1000 | 0 | 0 | a | 1500 | queued |
      | a full queue |  | 0 | 10 | b | 99999 | queue-full |
      | slow past runs decay | 100:9000 100:9000 | 60000 | 0 | a | 1500 | queued |
      | recent slow runs | 100:9000 100:9000 | 0 | 0 | a | 1500 | deadline-unreachable |
