Feature: A router instance over sockets, on stand-ins of the platform
  Background:
    Given a store, three engine servers, two plain servers and a router instance

  Scenario: A stream is passed on whole, over servers that hold every layer once
    When a caller asks for a stream
    Then it gets 12 events and a complete answer with the server's signature
    And the server saw the account, the time left and its own id, and no key

  Scenario Outline: An answer "<style>" to a call that may run once
    When the plain servers answer "<style>"
    And a caller books once
    Then it gets status <status>
    And the call ran at most once

    Examples:
      | style              | status |
      | whole              | 200    |
      | unframed           | 200    |
      | unframed and reset | 502    |
      | of another request | 502    |
      | rejected           | 503    |
      | broken off         | 502    |

  Scenario: A server crashes in mid-stream
    When a caller asks for a stream and its first server crashes after 4 events
    Then it gets 12 events and a complete answer with the server's signature

  Scenario Outline: The store <fault>
    When the stand-in store "<fault>"
    And a caller asks for a stream
    Then it gets 12 events and a complete answer with the server's signature

    Examples:
      | fault         |
      | busy          |
      | silent        |
      | loses answers |
      | forgets       |

  Scenario Outline: A request that the configuration does not allow
    When a caller asks for "<path>" with key "<key>"
    Then it gets status <status>

    Examples:
      | path         | key     | status |
      | /stream/1    | none    | 401    |
      | /stream/1    | unknown | 401    |
      | /other/1     | key-1   | 404    |

  Scenario: A change of the configuration is in force within 2 seconds, and an older one never again
    When the operator moves key "key-1" to "key-2" in version 9, and version 5 is written after it
    Then within 2 seconds a caller with "key-2" is served and one with "key-1" gets status 401

  Scenario: Entries of other writers name no server; the others hold
    When the store gets entries that are no servers
    And a caller asks for a stream
    Then it gets 12 events and a complete answer with the server's signature

  Scenario: A leaving server gets no new request
    When the first plain server says that it leaves
    And 10 callers book within a second after that
    Then only the other plain server ran them

  Scenario: A planned stop cuts nothing
    When a caller asks for a stream and the instance is stopped after 4 events
    Then it gets 12 events and a complete answer with the server's signature
    And the instance is not ready and takes no request

  Scenario: An instance that starts while the store is away learns from a peer
    When the stand-in store "silent"
    And another instance starts with the first as its seed
    Then within 4 seconds the other instance serves a stream
