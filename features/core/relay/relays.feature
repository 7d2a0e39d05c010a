Feature: A caller gets one complete answer, or the true outcome of its request
  Scenario Outline: <case>
    Given a route of kind "<kind>" to servers with scripted answers
    When the servers answer "<answers>"
    Then the caller gets "<outcome>" after <sends> sends

    Examples: one answer per send, in order
      | case                                              | kind           | answers               | outcome     | sends |
      | an answer is forwarded                            | non-idempotent | 200                   | 200         | 1     |
      | a server's own failure is forwarded               | non-idempotent | 500                   | 500         | 1     |
      | a lost answer of a call that may run only once    | non-idempotent | lost                  | 502 unknown | 1     |
      | a rejection says that nothing ran                 | non-idempotent | rejected              | 503 not-run | 1     |
      | no connection: the call goes to another server    | non-idempotent | not-sent,200          | 200         | 2     |
      | an answer of another request is discarded         | non-idempotent | foreign               | 502 unknown | 1     |
      | an answer without a signature is discarded        | non-idempotent | unsigned              | 502 unknown | 1     |
      | an answer in another encoding is discarded        | non-idempotent | encoded               | 502 unknown | 1     |
      | an answer that cannot be sent on is discarded     | non-idempotent | unsendable            | 502 unknown | 1     |
      | a 503 that does not say that nothing ran          | non-idempotent | 503                   | 502 unknown | 1     |
      | an answer that cannot be sent on is retried       | idempotent     | unsendable,200        | 200         | 2     |
      | a lost answer is retried                          | idempotent     | lost,200              | 200         | 2     |
      | a failure is retried                              | idempotent     | 500,200               | 200         | 2     |
      | an answered failure is preferred to a lost answer | idempotent     | 500,lost              | 500         | 2     |
      | an answered failure is preferred to a rejection   | idempotent     | 500,rejected          | 500         | 2     |
      | a route allows two servers                        | idempotent     | lost,lost             | 502 unknown | 2     |
      | rejections of all servers                         | idempotent     | rejected,rejected     | 503 not-run | 2     |

  Scenario Outline: The log tells why an answer was discarded: <reason>
    Given a route of kind "non-idempotent" to servers with scripted answers
    When the servers answer "<answer>"
    Then the log tells that an answer was discarded because of "<reason>"

    Examples:
      | answer     | reason          |
      | unsendable | unsendable-head |
      | unsigned   | unverified      |
      | encoded    | unverified      |
      | 503        | false-promise   |

  Scenario Outline: At the route's timeout a request that is <state> is answered "<outcome>"
    Given a route of kind "<kind>" to servers with scripted answers
    When the servers answer "<answers>"
    And the route's timeout expires
    Then the caller gets "<outcome>" after <sends> sends

    Examples:
      | state              | kind           | answers | outcome     | sends |
      | in progress        | non-idempotent | wait    | 504 unknown | 1     |
      | retried            | idempotent     | lost,wait | 504 unknown | 2   |
      | retried after a failure | idempotent | 500,wait | 500 | 2 |

  Scenario Outline: <case>
    Given a stream over two servers
    When the stream gets "<arrivals>"
    Then the caller has "<text>" and its answer is "<outcome>"
    And the servers were asked to resume after "<resumed>"

    Examples: "e3" is event 3, "half" half an event; "lost", "end" and "rejected" end a send
      | case                                         | arrivals            | text  | outcome     | resumed |
      | a whole stream                               | e1 e2 end           | 12    | 200         |         |
      | a lost server: another resumes after event 2 | e1 e2 lost e3 end   | 123   | 200         | 2       |
      | half an event is not forwarded               | e1 half lost e2 end | 12    | 200         | 1       |
      | repeated events are skipped                  | e1 e2 lost e2 e3 end | 123  | 200         | 2       |
      | a stream that stops inside an event is lost  | e1 half end e2 end  | 12    | 200         | 1       |
      | rejected before the first event              | rejected e1 end     | 1     | 200         |         |

  # Guards against an answer that is cut, or sent again and again, while neither server of its route gives a sign of life.
  Scenario: A stream that has lost both servers of its route waits for them until its time limit
    Given a stream over two servers
    And neither server gives a sign of life
    When the stream gets "e1 lost lost"
    Then the caller has "1" and its answer is "open"
    When 19999 ms of the 20000 ms for the stream have passed
    Then the caller has "1" and its answer is "open"
    When 20000 ms of the 20000 ms for the stream have passed
    Then the caller has "1" and its answer is "cut"
    And the servers were asked to resume after "1"

  # Guards against an answer that is cut although a server that broke off goes on.
  Scenario: A stream that has lost both servers of its route goes on at the first one that answers
    Given a stream over two servers
    When the stream gets "e1 lost lost"
    And 1000 ms of the 20000 ms for the stream have passed
    And the stream gets "e2 end"
    Then the caller has "12" and its answer is "200"
    And the servers were asked to resume after "1 1"

  Scenario: A request rejected because of a later server is resent only to first servers already used, once there are two
    Given a stream of an engine with three servers of the first layers and two of the later ones
    When its first server rejects it, and the next one rejects it because of "later-0"
    Then the three sends used two servers of the first layers, and the request is still open

  Scenario: A server that restarted without layers gets no request for its old layers, even if the store does not know of the restart
    Given a stream of an engine with three servers of the first layers and two of the later ones
    When its first server reports that "later-0" does not hold its layers
    Then "later-0" counts as a server without layers
    And no route passes "later-0" until its entry shows layers again

  Scenario: The server on the route is blamed even if another server's entry has its address
    Given a stream of an engine with three servers of the first layers and two of the later ones
    When its first server reports that "later-0", whose address is also in the entry of "next", does not hold its layers
    Then "later-0" counts as a server without layers
    And no route passes "later-0" until its entry shows layers again

  Scenario: The body of a rejection is not part of a later failure
    Given a stream over two servers
    When the stream gets "rejected 500"
    Then the caller has the body "answer" and status 500

  Scenario: A stream that may not be resumed is aborted, never joined from two runs
    Given a stream that may not be resumed
    When the stream gets "e1 lost"
    Then the caller has "1" and its answer is "cut"

  Scenario: An empty retry budget ends the request immediately
    Given a route of kind "idempotent" to servers with scripted answers, without retries
    When the servers answer "lost"
    Then the caller gets "502 unknown" after 1 send

  Scenario: The server's work stops when its caller disconnects
    Given a stream over two servers
    When the stream gets "e1"
    And the caller disconnects
    Then the connection of the last send is closed and no outstanding work is left

  # Guards against a request that is taken between two looks at the clock, when it cannot end before the process does.
  Scenario Outline: A request that comes <when> an instance takes none any more
    Given a dispatcher that closes at 1000 ms
    When a request comes at <ms> ms
    Then the caller gets "<outcome>" after <sends> sends

    Examples:
      | when          | ms   | outcome     | sends |
      | before        | 999  | open        | 1     |
      | the moment at which | 1000 | 503 not-run | 0 |
      | after         | 1001 | 503 not-run | 0     |

  # Guards against a request that nobody answers any more, since an exception came between its end and its answer.
  Scenario Outline: An unexpected error when <part>
    Given a route of kind "<kind>" to servers with scripted answers
    And an unexpected error when "<part>"
    When the servers answer "<answers>"
    Then the caller gets "<outcome>" after 1 send
    And the error is logged with the id of the request
    And no time limit of the request is left

    Examples:
      | part                     | kind           | answers  | outcome     |
      | the head is written      | non-idempotent | 200      | 502 unknown |
      | the body is written      | non-idempotent | 200      | cut         |
      | the answer ends          | non-idempotent | 200      | cut         |
      | the refusal is written   | non-idempotent | rejected | cut         |
      | another server is chosen | idempotent     | lost     | 502 unknown |
      | its crash is examined    | non-idempotent | lost     | 502 unknown |

  # A service that is so far behind that callers leave: what is sent on would only lengthen its backlog.
  Scenario Outline: <case>
    Given 4 streams that wait for their first event, on a route with an objective of 500 ms
    When <count> of their callers leave after <ms> ms
    Then a further stream is "<outcome>"

    Examples:
      | case                                                | count | ms   | outcome     |
      | a stream is refused while callers leave in vain     | 1     | 2000 | 503 not-run |
      | it is sent once others have left their places       | 3     | 2000 | open        |
      | callers who leave at once say nothing of the service | 1    | 100  | open        |
