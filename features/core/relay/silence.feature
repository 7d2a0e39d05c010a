Feature: A server that keeps streams waiting is found and left
  Streams in series over three servers; one of them dies, freezes or is cut off in mid-stream.

  Scenario Outline: <case>
    Given a stream over three servers with an event each <pace> ms
    When server "<server>" falls silent
    Then within <limit> ms the stream <result>

    Examples: callers are promised pauses of 200 ms, of which the new servers' reading takes some
      | case                              | server | pace | limit | result                                |
      | a later server is left            | s2     | 20   | 170   | has a new route without that server   |
      | the first server is left          | s1     | 20   | 170   | goes on at another first server       |
      | a later server, at a usual pace   | s2     | 45   | 190   | has a new route without that server   |
      | the first one, at a usual pace    | s1     | 45   | 190   | goes on at another first server       |

  Scenario: A pause with every server alive is no fault
    Given a stream over three servers that has begun
    When nothing arrives for 700 ms though every server reports
    Then the stream keeps its route

  Scenario: A server that the first one waits for is left, though it answers
    Given a stream over three servers that has begun
    When the first server reports that it waits for "s2"
    Then within 800 ms the stream has a new route without that server

  Scenario: A leaving server's streams are moved before it ends
    Given a stream over three servers that has begun
    When server "s2" says that it leaves
    Then within 1400 ms the stream has a new route without that server

  Scenario: A process that stood still does not blame its servers
    Given a stream over three servers that has begun
    When the process stands still for 3000 ms and events wait to be read
    Then the stream keeps its route

  Scenario: A domain that is cut off is left as a whole
    # Load pattern: a domain lost, with routes through several of its servers.
    Given a stream over three servers that has begun
    When 3 servers of domain "b" fall silent and are found out
    Then its other servers get no work either, but for one that answered just now

  Scenario Outline: <case>
    Given a stream over three servers that has begun
    When 3 servers of domain "b" fall silent and are found out
    And after <ms> ms they answer again
    Then they get work again within <limit> ms

    Examples: a request does not have to find out
      | case                                    | ms   | limit |
      | suspects that still do not answer wait  | 4000 | 1500  |
      | suspects that answer are used again     | 300  | 800   |
