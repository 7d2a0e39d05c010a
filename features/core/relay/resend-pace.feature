Feature: What waits for a server sends no more than servers can bear, and misses none that it may use

  # Guards against a stream that is sent on and on to a server that fails it, while its silent first server keeps it.
  Scenario: A silent first server holds a stream back, and the next one answers each send of it with a failure
    Given a long stream over three servers with a spare each
    When "s1" pause "before the first event" for 2500 ms while the next first server "answers with a failure"
    Then the caller has the whole answer, each event once and in order
    And it took at most 2 first servers and 10 sends, and left nothing open
