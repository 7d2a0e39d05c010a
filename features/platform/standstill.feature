Feature: A suspended process asks before it sends what arrived meanwhile
  Instances run as processes of their own; the hub is the one with the first name.

  Scenario Outline: <case>
    Given a store, 2 plain servers and 2 router processes that have answered
    When the <paused> is suspended, a server leaves as <source> tells, and for <ms> ms requests arrive at the suspended process
    And the suspended process runs again
    Then the leaving server gets no request
    And every request gets an answer within <answer> ms of running again
    And its log says that it stood still: "<outcome>"

    Examples: the answers of the server tell its leaving to the other process alone, while the store is silent
      | case                                | paused | source      | ms   | answer | outcome  |
      | an instance that hears from its hub | other  | the store   | 1500 | 1000   | answered |
      | the hub, which reads the store      | hub    | the store   | 1500 | 1000   | answered |
      | a short pause                       | other  | the store   | 800  | 1000   | answered |
      | the hub alone knows                 | other  | its answers | 1500 | 1000   | answered |
