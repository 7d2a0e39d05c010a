Feature: A server that turns a request away with 503 and Retry-After gets nothing from that instance for so long

  # Guards against a Retry-After that nothing reads: the store is silent, and the instances share nothing of it.
  Scenario Outline: one of three <service> servers asks for a pause by <header> and <statement>
    Given a store, 3 <service> servers and 2 router instances that have answered
    And the store falls silent
    When a server turns requests away with 503, "<statement>" and "retry-after: <header>" for 400 ms
    And for 5 seconds 60 requests a second to the <service> service arrive at instance 1
    Then between 500 ms and <ms> ms after each such answer it gets no request
    And it gets requests within 1500 ms of the end of the pause
    And the other servers answer at least 95 in 100 of the requests

    Examples:
      | service | header | ms   | statement         |
      | plain   | 2      | 2000 | x-not-executed: 1 |
      | plain   | 2.5    | 2500 | x-not-executed: 1 |
      | engine  | 2      | 2000 | x-not-executed: 1 |
      | engine  | 2.5    | 2500 | x-not-executed: 1 |
      | engine  | 2      | 2000 | x-server-seal: s  |

  Scenario Outline: an instance that was asked for a pause does not speak for the others: <service>
    Given a store, 3 <service> servers and 2 router instances that have answered
    When a server turns requests of instance 1 away for 4 s
    And for 3 seconds 60 requests a second to the <service> service arrive at instance 1 and 2
    Then between 500 ms and 4000 ms after each such answer it gets no request of instance 1
    And it gets at least 10 requests of instance 2

    Examples:
      | service |
      | plain   |
      | engine  |

  Scenario Outline: all <service> servers ask for a pause
    Given a store, 3 <service> servers and 2 router instances that have answered
    When all servers turn requests away with 503 and "retry-after: 3"
    And for 2 seconds 30 requests a second to the <service> service arrive at instance 1
    Then each server gets at most <most> requests
    And each refusal comes within 500 ms and says to return at the end of the first pause, 3 s after its beginning

    Examples: a server may be given another request before its answer to the first one has arrived
      | service | most |
      | plain   | 3    |
      | engine  | 3    |

  Scenario Outline: a new process does not inherit the pause: <service>
    Given a store, 3 <service> servers and 2 router instances that have answered
    When a server turns requests away with 503, "x-not-executed: 1" and "retry-after: 60" for 400 ms
    And for 1 seconds 40 requests a second to the <service> service arrive at instance 1
    And that server restarts
    And for 3 seconds 40 requests a second to the <service> service arrive at instance 1
    Then the new process gets requests

    Examples:
      | service |
      | plain   |
      | engine  |
