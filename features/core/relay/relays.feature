Feature: A caller gets one whole answer, or a true word about its request
  Scenario Outline: <case>
    Given a "<kind>" route to servers that fail
    When the servers answer "<answers>"
    Then the caller gets "<outcome>" after <sends> sends

    Examples: answers of one send after another
      | case                                              | kind           | answers               | outcome     | sends |
      | an answer is passed on                            | non-idempotent | 200                   | 200         | 1     |
      | a server's own failure is passed on               | non-idempotent | 500                   | 500         | 1     |
      | a lost answer of a call that may run once         | non-idempotent | lost                  | 502 unknown | 1     |
      | a rejection says that nothing ran                 | non-idempotent | rejected              | 503 not-run | 1     |
      | no connection: the call goes to another server    | non-idempotent | not-sent,200          | 200         | 2     |
      | an answer of another request is not taken         | non-idempotent | foreign               | 502 unknown | 1     |
      | an answer without a signature is not taken        | non-idempotent | unsealed              | 502 unknown | 1     |
      | an answer in another encoding is not taken        | non-idempotent | encoded               | 502 unknown | 1     |
      | a lost answer is asked for again                  | idempotent     | lost,200              | 200         | 2     |
      | a failure is asked for again                      | idempotent     | 500,200               | 200         | 2     |
      | the better failure is passed on                   | idempotent     | 500,lost              | 500         | 2     |
      | a route allows two servers                        | idempotent     | lost,lost             | 502 unknown | 2     |
      | rejections of all servers                         | idempotent     | rejected,rejected     | 503 not-run | 2     |

  Scenario Outline: At its timeout a request that is <state> is answered "<outcome>"
    Given a "<kind>" route to servers that fail
    When the servers answer "<answers>"
    And the route's timeout passes
    Then the caller gets "<outcome>" after <sends> sends

    Examples:
      | state              | kind           | answers | outcome     | sends |
      | under way          | non-idempotent | wait    | 504 unknown | 1     |
      | under way, a retry | idempotent     | lost,wait | 504 unknown | 2   |

  Scenario Outline: <case>
    Given a stream over two servers
    When the stream gets "<arrivals>"
    Then the caller has "<text>" and its answer is "<outcome>"
    And the servers were asked to go on after "<resumed>"

    Examples: "e3" is event 3, "half" half an event; "lost", "end" and "rejected" end a send
      | case                                         | arrivals            | text  | outcome     | resumed |
      | a whole stream                               | e1 e2 end           | 12    | 200         |         |
      | a lost server: another goes on after event 2 | e1 e2 lost e3 end   | 123   | 200         | 2       |
      | half an event is not passed on               | e1 half lost e2 end | 12    | 200         | 1       |
      | repeated events are left out                 | e1 e2 lost e2 e3 end | 123  | 200         | 2       |
      | a stream that stops inside an event is lost  | e1 half end e2 end  | 12    | 200         | 1       |
      | rejected before the first event              | rejected e1 end     | 1     | 200         |         |
      | two losses use up the route's servers        | e1 lost lost        | 1     | cut         | 1       |

  Scenario: A request turned away for a later server goes to its first servers again, never to a third
    Given a stream over three first servers and two later ones
    When its first server turns it away, and the next one for "later-0"
    Then every send began at one of two first servers and the stream can still be whole

  Scenario: A server that started again empty, unseen by the store, gets no request for its old layers
    Given a stream over three first servers and two later ones
    When its first server says that "later-0" does not hold its layers
    Then no route passes "later-0" until its entry shows layers again

  Scenario: A server whose address is another's by now is the one that is blamed
    Given a stream over three first servers and two later ones
    When its first server says that "later-0" does not hold its layers, whose address is now "next"
    Then no route passes "later-0" until its entry shows layers again

  Scenario: The body of a rejection is no part of a later failure
    Given a stream over two servers
    When the stream gets "rejected 500"
    Then the caller has the body "answer" and status 500

  Scenario: A stream that may not be resumed is cut, never joined from two runs
    Given a stream that may not be resumed
    When the stream gets "e1 lost"
    Then the caller has "1" and its answer is "cut"

  Scenario: An empty retry budget ends the request at once
    Given a "idempotent" route to servers that fail, without retries
    When the servers answer "lost"
    Then the caller gets "502 unknown" after 1 sends

  Scenario: The server's work stops when its caller leaves
    Given a stream over two servers
    When the stream gets "e1"
    And the caller leaves
    Then the last send is closed and no work is counted
