# Guards against part of an answer that a caller gets as a whole one, from a server that gives up during a long upload.
Feature: Servers that answer before they have read a request, over sockets

  Scenario Outline: An answer <framing>, then <ending>, to an upload to <path>
    Given a router instance before a server that sends an answer <framing> as soon as it has a request's head, then <ending>
    When a caller uploads 16000000 bytes to "<path>"
    Then the caller receives <outcome>

    Examples:
      | path    | framing          | ending                                 | outcome                       |
      | /book/1 | without a length | a reset in the same moment             | status 502, reason server-lost |
      | /book/1 | without a length | a reset in the next turn               | status 502, reason server-lost |
      | /book/1 | without a length | a reset 10 ms later                    | status 502, reason server-lost |
      | /book/1 | without a length | its end and a reset in the same moment | status 502, reason server-lost |
      | /book/1 | without a length | its end and a reset 50 ms later        | status 502, reason server-lost |
      | /read/1 | without a length | a reset in the same moment             | status 502, reason server-lost |
      | /book/1 | with a length    | a reset in the same moment             | the whole answer              |
      | /book/1 | with a length    | its end and a reset 50 ms later        | the whole answer              |
