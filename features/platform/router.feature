Feature: A router instance over real sockets, with a fake store and fake backend servers
  Background:
    Given a store, three engine servers, two plain servers and a router instance

  Scenario: A stream is relayed completely, over a route that covers every layer once
    When a caller requests a stream
    Then the caller receives 12 events and a complete answer with the server's signature
    And the server received the account, the remaining time, its own id and the route, but no key

  Scenario Outline: An answer "<style>" to a non-idempotent request
    When the plain servers answer "<style>"
    And a caller sends one non-idempotent request
    Then the caller receives status <status>
    And the request ran at most once

    Examples:
      | style              | status |
      | whole              | 200    |
      | unframed           | 200    |
      | unframed and reset | 502    |
      | of another request | 502    |
      | rejected           | 503    |
      | truncated          | 502    |
      | ending inside its head            | 502 |
      | ending before the end of its head | 502 |
      | with a space in a header's name   | 502 |
      | with a control byte in a header's name | 502 |
      | with status 000                   | 502 |
      | with status 099                   | 502 |
      | with status 600                   | 502 |
      | with status 101                   | 502 |
      | in an unknown transfer coding     | 502 |

  # Guards against a stream that was broken off and looks complete, since nothing but its connection delimits it.
  Scenario Outline: A stream that ends with its connection: <style>
    Given the instance has heard of the layers of all engine servers
    When the engine servers answer "<style>", until one has broken a stream off
    And a caller requests a stream
    Then the caller receives 12 events and a complete answer with the server's signature
    And <runs> servers have run it

    Examples: a stream that was broken off is resumed at another server
      | style                                   | runs |
      | unframed                                | 1    |
      | unframed, ending inside an event        | 2    |
      | unframed, ending before the first event | 2    |
      | unframed, reset after an event          | 2    |

  # Guards against a stream that arrives as 200, unsigned and without its first event, because its head could not be sent.
  Scenario Outline: The head of a stream is spoilt at one server, <style>
    Given the instance has heard of the layers of all engine servers
    When the engine servers answer "<style>", until one has broken a stream off
    And a caller requests a stream
    Then the caller receives 12 events and a complete answer with the server's signature
    And 2 servers have run it

    Examples:
      | style                                  |
      | with a space in a header's name        |
      | with a control byte in a header's name |
      | with status 000                        |
      | with status 099                        |
      | with status 600                        |

  Scenario Outline: The head of a stream is spoilt at all servers, <style>
    When the engine servers answer "<style>"
    And a caller requests "/stream/1" with key "key-1"
    Then the caller receives status 502 within 2000 ms, with reason "server-lost"

    Examples:
      | style                                  |
      | with a space in a header's name        |
      | with a control byte in a header's name |
      | with status 000                        |
      | with status 099                        |
      | with status 600                        |

  # Guards against "not run" for a request that a server runs, and against running it at a second server.
  Scenario Outline: A server answers <path> with <style>
    When the engine servers reject a stream each, and then answer "<style>"
    And a caller requests "<path>" with key "key-1"
    Then an earlier rejection was repeated
    And the caller receives status <status>
    And at most <runs> servers have run it

    Examples: such a stream may run only once
      | style                                                | path           | status | runs |
      | an earlier rejection once more                       | /stream-once/1 | 502    | 1    |
      | an earlier rejection once more, without an id        | /stream-once/1 | 502    | 1    |
      | an earlier rejection once more, without its first byte | /stream-once/1 | 502    | 1    |

  # Guards against a failure's text within a stream, and against a broken stream that ends as if it were complete.
  Scenario Outline: A stream breaks off after 4 events, and the next server answers with <style>
    Given the instance has heard of the layers of all engine servers
    When the engine servers answer "<style>"
    And a caller requests a stream and its first server crashes after 4 events
    Then the caller receives the first events in order and nothing else, and an answer that is not complete

    Examples: no other server is left after two
      | style                                                      |
      | a failure when a stream is resumed                         |
      | an unsigned failure when a stream is resumed               |
      | the head and text of a failure within a resumed stream     |
      | an event too few when a stream is resumed                  |
      | status 000 when a stream is resumed                        |
      | a space in a header's name when a stream is resumed        |

  # Guards against cutting slow streams that are sound, and against stalled ones without end.
  Scenario: A slow stream whose servers are alive is not cut
    When the engine servers answer "slow, but sound"
    And a caller requests a stream
    Then the caller receives 12 events and a complete answer with the server's signature
    And 1 servers have run it

  Scenario: A stalled stream that sends a byte now and then ends at the caller's deadline
    When the engine servers answer "a byte now and then"
    And a caller requests a stream
    Then the answer ends between 4000 and 4500 ms after the request
    And the caller receives the first events in order and nothing else, and an answer that is not complete

  # Guards against bytes that are no answer, without end: their memory, and requests that wait for them.
  Scenario Outline: The servers send <style>
    When the <servers> servers answer "<style>"
    And a caller requests "<path>" with key "key-1"
    Then the caller receives status 502 within 2000 ms, with reason "<reason>"
    And within 1000 ms no <servers> server has a connection that is still busy
    And the process has taken less than 64 MB more

    Examples:
      | style                   | servers | path      | reason          |
      | endless line ends       | plain   | /book/1   | answer-too-long |
      | endless interim answers | plain   | /book/1   | answer-too-long |
      | endless headers         | plain   | /book/1   | server-lost     |
      | endless body            | plain   | /book/1   | answer-too-long |
      | endless chunk size      | plain   | /book/1   | answer-too-long |
      | endless line ends       | engine  | /stream/1 | answer-too-long |
      | endless headers         | engine  | /stream/1 | server-lost     |
      | endless event           | engine  | /stream/1 | answer-too-long |

  # Guards against a stream whose caller reads more slowly than its server sends: what lay between them filled the memory.
  Scenario: The servers send endless events to a caller that does not read
    Given the instance has heard of the layers of all engine servers
    When the engine servers answer "endless events"
    And for 3000 ms a caller requests a stream and reads nothing
    Then the process has taken less than 64 MB more
    And 1 servers have run it
    When the engine servers answer "whole"
    And a caller requests a stream
    Then the caller receives 12 events and a complete answer with the server's signature

  Scenario: A server crashes in the middle of a stream
    When a caller requests a stream and its first server crashes after 4 events
    Then the caller receives 12 events and a complete answer with the server's signature

  Scenario Outline: The store has the fault "<fault>"
    When the fake store has the fault "<fault>"
    And a caller requests a stream
    Then the caller receives 12 events and a complete answer with the server's signature

    Examples:
      | fault         |
      | busy          |
      | silent        |
      | loses answers |
      | loses history |

  Scenario Outline: A request that the configuration does not allow
    When a caller requests "<path>" with key "<key>"
    Then the caller receives status <status>

    Examples:
      | path         | key     | status |
      | /stream/1    | none    | 401    |
      | /stream/1    | unknown | 401    |
      | /other/1     | key-1   | 404    |

  Scenario: A new configuration takes effect within 2 seconds, and an older one is never applied after it
    When the operator replaces key "key-1" with "key-2" in version 9, and version 5 is written afterwards
    Then within 2 seconds a caller with "key-2" is served and one with "key-1" gets status 401

  Scenario: The open connections to the store fall silent, and a new configuration takes effect in time
    When the open connections to the store fall silent
    And the operator replaces key "key-1" with "key-2" in version 9, and version 5 is written afterwards
    Then within 3 seconds a caller with "key-2" is served and one with "key-1" gets status 401

  Scenario: Invalid entries in the servers table are ignored; valid ones stay in use
    # Other writers may store values in the table that are not entries of servers.
    When invalid entries are written to the servers table
    And a caller requests a stream
    Then the caller receives 12 events and a complete answer with the server's signature

  Scenario: A leaving server gets no new request
    When the first plain server announces that it is leaving
    And 500 ms later 10 callers send non-idempotent requests
    Then only the other plain server ran them

  Scenario: A graceful stop cuts no stream
    When a caller requests a stream and the instance is stopped after 4 events
    Then the caller receives 12 events and a complete answer with the server's signature
    And the instance accepts no requests

  # Guards against requests that are taken late in a planned stop and cut off at its end.
  Scenario: A request that comes late in a planned stop has not run
    When the instance is stopped while a slow stream runs, and 3450 ms later a caller sends one non-idempotent request on an open connection
    Then the caller receives status 503 or no connection, and no server has run it

  Scenario: An instance that starts while the store is unavailable learns its state from a peer
    When the fake store has the fault "silent"
    And another instance starts with the first as its seed
    Then within 4 seconds the other instance serves a stream

  # Guards against a part that no request passes outside of its own tests.
  Scenario: Where the routes of an engine differ in rank, their requests pass admission
    Given the instance has heard of the layers of all engine servers
    When the streams of the engine get ranks 0 and 2, and accounts none
    And a caller requests a stream
    Then the caller receives 12 events and a complete answer with the server's signature
    And the metrics of the instance show "acaciadrum_admissions_total{rank="0",end="admitted"} 1"
