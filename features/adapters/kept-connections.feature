# Guards against reads of the store that fail, and servers that are suspected, because an idle connection was just closed.
Feature: A call on a kept connection that its server has just closed

  Scenario Outline: <call> on a connection that was closed after <idle> ms without a call
    Given a server that keeps idle connections for <kept> ms and <announces> that
    And a client with a connection to it
    When after <idle> ms the server closes the connection, and in the same moment the client makes <call>
    Then the call <result>

    Examples:
      | call              | kept | announces           | idle | result   |
      | a GET             | 5000 | announces           | 100  | succeeds |
      | a repeatable POST | 5000 | announces           | 100  | succeeds |
      | another POST      | 5000 | announces           | 100  | fails    |
      | another POST      | 2000 | announces           | 1300 | succeeds |
      | another POST      | 5000 | does not announce   | 4300 | succeeds |
