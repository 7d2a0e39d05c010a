Feature: A stream keeps what it has until something better has begun
  # A stream of 120 events, one every 20 ms, over the layers of s1, s2 and s3. Each has a spare in another failure
  # domain, and the route allows two first servers. Servers that pause hold their events and their reports back, and
  # go on; they stop inside an event. Reroutes are rejected. Meanwhile the next first server acts as said, and as usual afterwards.

  # Guards against a running answer that is given up for a server that does not begin it, and is then cut.
  Scenario Outline: <servers> pause <when> for <ms> ms, and the next first server <meanwhile>
    Given a long stream over three servers with a spare each
    When "<servers>" pause "<when>" for <ms> ms while the next first server "<meanwhile>"
    Then the caller has the whole answer, each event once and in order
    And it took at most 2 first servers and <sends> sends, and left nothing open

    Examples: the answer has not begun, and the next first server fails it
      | servers  | when                   | ms   | meanwhile                              | sends |
      | s1       | before the first event | 800  | rejects it                             | 8     |
      | s1       | before the first event | 1200 | rejects it                             | 8     |
      | s1       | before the first event | 2500 | rejects it                             | 10    |
      | s1       | before the first event | 1200 | rejects it because of a later server   | 8     |
      | s1       | before the first event | 1200 | loses the connection                   | 8     |
      | s2       | before the first event | 1200 | rejects it                             | 8     |
      | s1,s2,s3 | before the first event | 1200 | rejects it                             | 8     |

    Examples: the answer has not begun, and the next first server takes it
      | servers  | when                   | ms   | meanwhile                              | sends |
      | s1       | before the first event | 1200 | pauses as well                         | 2     |
      | s1       | before the first event | 1200 | begins                                 | 2     |

    Examples: the answer has begun, and the next first server fails it
      | servers  | when                   | ms   | meanwhile                              | sends |
      | s1       | in mid-stream          | 800  | rejects it                             | 8     |
      | s1       | in mid-stream          | 1200 | rejects it                             | 8     |
      | s1       | in mid-stream          | 2500 | rejects it                             | 10    |
      | s1       | in mid-stream          | 800  | rejects it because of a later server   | 8     |
      | s1       | in mid-stream          | 1200 | rejects it because of a later server   | 8     |
      | s1       | in mid-stream          | 2500 | rejects it because of a later server   | 10    |
      | s1       | in mid-stream          | 800  | loses the connection                   | 8     |
      | s1       | in mid-stream          | 1200 | loses the connection                   | 8     |
      | s1       | in mid-stream          | 2500 | loses the connection                   | 10    |
      | s2       | in mid-stream          | 800  | rejects it                             | 8     |
      | s2       | in mid-stream          | 1200 | rejects it                             | 8     |
      | s2       | in mid-stream          | 2500 | rejects it                             | 10    |
      | s2       | in mid-stream          | 1200 | loses the connection                   | 8     |
      | s1,s3    | in mid-stream          | 1200 | rejects it                             | 8     |
      | s1,s2,s3 | in mid-stream          | 800  | rejects it                             | 8     |
      | s1,s2,s3 | in mid-stream          | 1200 | rejects it                             | 8     |
      | s1,s2,s3 | in mid-stream          | 2500 | loses the connection                   | 10    |

    Examples: the answer has begun, and the next first server takes it
      | servers  | when                   | ms   | meanwhile                              | sends |
      | s1       | in mid-stream          | 800  | pauses as well                         | 2     |
      | s1       | in mid-stream          | 1200 | pauses as well                         | 2     |
      | s1       | in mid-stream          | 2500 | pauses as well                         | 2     |
      | s1       | in mid-stream          | 1200 | begins                                 | 2     |
      | s2       | in mid-stream          | 1200 | pauses as well                         | 2     |
      | s2       | in mid-stream          | 1200 | begins                                 | 2     |
      | s1,s2,s3 | in mid-stream          | 1200 | pauses as well                         | 2     |

  # Guards against an answer with most of its time left that one refusal of a further server ends.
  Scenario Outline: <case>, and the next first server rejects it for <ms> ms
    Given a long stream over three servers with a spare each
    When "<case>" happens in mid-stream and the next first server rejects it for <ms> ms
    Then the caller has the whole answer, each event once and in order
    And it took at most 2 first servers and 8 sends, and left nothing open

    Examples:
      | case                                                  | ms  |
      | its first server breaks off                           | 100 |
      | its first server breaks off                           | 300 |
      | its first server breaks off                           | 500 |
      | a reroute off a leaving server is taken, then a reset | 300 |

  # Guards against an answer that ends because no retry may be made at that moment.
  Scenario: The retry budget is empty when the first server breaks off, and has a retry 300 ms later
    Given a long stream over three servers with a spare each, without retries for 300 ms
    When "its first server breaks off" happens in mid-stream and the next first server rejects it for 0 ms
    Then the caller has the whole answer, each event once and in order
    And it took at most 2 first servers and 2 sends, and left nothing open

  # Guards against a pause in the answer for the sake of a first server that does not come back.
  Scenario: A first server that is dead holds the answer up no longer than before
    Given a long stream over three servers with a spare each
    When "s1" pause "in mid-stream" for 60000 ms while the next first server "begins"
    Then the caller has the whole answer, each event once and in order
    And no pause between its events was longer than 250 ms

  # Guards against calls that go on at servers after the end of their request.
  Scenario Outline: <end> while <state>: every call is closed and none is made any more
    Given a long stream over three servers with a spare each
    When "s1" pause "in mid-stream" for 60000 ms while the next first server "<meanwhile>", until "<end>" after 600 ms
    Then every call is closed, no work is left, and no call follows
    And the long stream is "<outcome>"

    Examples:
      | end                   | state                        | meanwhile                     | outcome |
      | its caller leaves     | two servers hold the request | pauses as well                | open    |
      | its time limit passes | two servers hold the request | pauses as well                | cut     |
      | its time limit passes | no server can take it        | rejects it, and the connection to s1 is lost | cut     |
      | its caller leaves     | no server can take it        | rejects it, and the connection to s1 is lost | open    |
      | its memory is needed  | two servers hold the request | pauses as well                | cut     |
      | its memory is needed  | no server can take it        | rejects it, and the connection to s1 is lost | cut     |
      | its caller cannot be written to | two servers hold the request | pauses as well      | cut     |

  # Guards against calls that go on at servers after a request without any event has ended.
  Scenario Outline: <end> while two servers hold a request that has no event: it is "<outcome>", and every call is closed
    Given a long stream over three servers with a spare each
    When "s1" pause before the first event while the next first server "pauses as well", until "<end>" after 600 ms
    Then every call is closed, no work is left, and no call follows
    And the long stream is "<outcome>"

    Examples:
      | end                         | outcome     |
      | a part of it is quarantined | 502 unknown |
      | its memory is needed        | 502 unknown |
      | its time limit passes       | 504 unknown |
      | its caller leaves           | open        |

  # Guards against an answer that waits for what does not come, or does not see that its server is back.
  Scenario Outline: After <ms> ms an answer waits for a server: <change>
    Given a long stream over three servers with a spare each
    When its first server ends at <ms> ms, all others reject it, and 500 ms later "<change>"
    Then the long stream is "<outcome>"

    # A stream is proven sound by two events, 65 ms after its start.
    Examples:
      | ms   | change                      | outcome |
      | 1600 | the first server restarts   | 200     |
      | 50   | a part of it is quarantined | cut     |
      | 1600 | a part of it is quarantined | open    |
      | 1600 | an error occurs             | cut     |

  # Guards against joined pieces, calls and memory that are left, and cuts, in orders of events that nobody thought of.
  Scenario: Servers pause, reject, break off and reroute, and callers read slowly, at random
    Given 300 long streams with random troubles, seeds 1 and on
    Then none of them was cut, and each that began is whole and in order
    And each used at most 2 first servers, and left neither calls nor work nor memory

  # Guards against a cut whose cause the log does not tell.
  Scenario Outline: An answer is cut that had begun and <limit>
    Given a long stream over three servers with a spare each, which "<limit>"
    When "its first server breaks off" happens in mid-stream and the next first server rejects it for 60000 ms
    Then the log and the metrics tell that it was cut after it had begun, because of "<obstacle>"

    Examples:
      | limit              | obstacle       |
      | may not be resumed | not-repeatable |
      | has no retry       | retry-budget   |
      | has a retry        | server-limit   |
