Feature: What waits for a server sends no more than servers can bear, and misses none that it may use

  # Guards against a stream that is sent on and on to a server that fails it, while its silent first server keeps it.
  Scenario: A silent first server holds a stream back, and the next one answers each send of it with a failure
    Given a long stream over three servers with a spare each
    When "s1" pause "before the first event" for 2500 ms while the next first server "answers with a failure"
    Then the caller has the whole answer, each event once and in order
    And it took at most 2 first servers and 10 sends, and left nothing open

  # Guards against a begun answer of a plain service that waits in vain beside a server that may have it.
  Scenario: A begun stream of a plain service waits for a server that it has used, beside one that is beyond its limit
    Given a begun stream of a plain service with 3 servers, of which its route allows 2
    When its plain server breaks off, and the next one rejects it for 300 ms
    Then within 3000 ms the stream runs on at one of its 2 plain servers

  # Guards against a flood of sends from answers that wait while every server is full.
  Scenario: 100 begun streams lose their servers, and every server is full for 10 s
    Given 100 begun streams over two servers that hold the whole model
    When all of them are lost, and both servers reject what they are sent for 10000 ms
    Then no server of the two got more than 15 sends in any second
    And all streams are complete within 4000 ms after that
