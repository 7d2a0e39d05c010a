Feature: A server that names a limit gets no more requests than that, from all instances together

  # Guards against a limit that is passed on to callers but observed by nobody.
  Scenario Outline: <case>
    Given a store, 3 <service> servers of which <limited> name a limit of <limit> requests a second, and 3 router instances
    When for 10 seconds <rate> requests a second to the <service> service arrive at every instance in turn
    Then from 3 s after the first answer no server that named its limit gets more than one and a half times that and 5 requests in any 4 s
    And at least <answered> in 100 of the requests are answered
    And each refusal says when to return, within 500 ms

    # With all servers limited, those that the limits allow are answered: 6 of 30 a second, less those that found their share used up.
    Examples:
      | case                                      | service | limited | limit | rate | answered |
      | one engine server of three, hardly needed | engine  | 1       | 2     | 30   | 95       |
      | one plain server of three, hardly needed  | plain   | 1       | 2     | 30   | 95       |
      | all engine servers, below the demand      | engine  | 3       | 2     | 30   | 12       |
      | all plain servers, below the demand       | plain   | 3       | 2     | 30   | 12       |
