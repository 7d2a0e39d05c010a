Feature: A server whose answers say that it is leaving gets no new work

  # Guards against a header that nothing reads: the store is silent, so that nobody else tells of it.
  Scenario Outline: <case>
    Given a store, 3 <service> servers and 2 router instances that have answered
    And the store falls silent
    When a server begins to say that it is leaving, in <answers> answers
    And for 4 seconds 40 requests a second to the <service> service arrive at instance <instances>
    Then a server told of its leaving
    And it gets no request that arrives later than <ms> ms after that
    And the other servers answer at least 80 in 100 of the requests

    Examples: the second instance learns it from the first one alone
      | case                                 | service | answers | instances | ms   |
      | whole answers of plain servers       | plain   | whole   | 1         | 200  |
      | refusals of plain servers            | plain   | refused | 1         | 200  |
      | failures of plain servers            | plain   | failed  | 1         | 200  |
      | streams                              | engine  | whole   | 1         | 200  |
      | refused streams                      | engine  | refused | 1         | 200  |
      | failed streams                       | engine  | failed  | 1         | 200  |
      | an instance told by its peer, plain  | plain   | whole   | 1 and 2   | 1000 |
      | an instance told by its peer, engine | engine  | whole   | 1 and 2   | 1000 |

  Scenario Outline: a new process of a server that left gets work: <service>
    Given a store, 3 <service> servers and 2 router instances that have answered
    When a server begins to say that it is leaving, in whole answers
    And for 1 seconds 40 requests a second to the <service> service arrive at instance 1
    Then a server told of its leaving
    When that server restarts
    And for 3 seconds 40 requests a second to the <service> service arrive at instance 1
    Then the new process gets requests

    Examples:
      | service |
      | plain   |
      | engine  |
