# Guards against an answer of a server in trouble that is taken for one in HTTP.
Feature: Answers whose heads HTTP does not allow

  Scenario Outline: An answer with <head>
    Given a server that answers with <head>
    Then the server client discards the answer
    And the plain transport discards the answer
    And the HTTP client discards the answer
    And the engine client discards the answer

    Examples:
      | head                                        |
      | status 000                                  |
      | status 099                                  |
      | status 101                                  |
      | status 101, for another protocol            |
      | status 600                                  |
      | status 999                                  |
      | a blank within a name                       |
      | a blank after a name                        |
      | a blank within the name of its length       |
      | a blank after the name of its length        |
      | a tab within a name                         |
      | a control byte within a name                |
      | a NUL within a name                         |
      | a DEL within a name                         |
      | a CR within a name                          |
      | a blank within a name that Connection lists |
      | a blank within a name after 2000 lines      |
      | a line without a name                       |
      | a line without a colon                      |
      | a line that begins with a blank             |
      | two lengths                                 |
      | a length beside chunks                      |
      | status 101 after an interim answer          |
      | an interim answer before status 000         |
      | an interim answer before a spoilt name      |

  Scenario Outline: A GET request on a kept connection, and an answer with <head>
    Given a server that answers with a sound head, and then with <head>
    When the server client gets a sound answer to a GET request
    Then the server client discards the answer to a GET request
    And it has opened 1 connection

    Examples:
      | head                  |
      | status 000            |
      | status 099            |
      | a blank within a name |

  Scenario Outline: A HEAD request, and an answer with <head>
    Given a server that answers with <head>
    Then the server client discards the answer to a HEAD request

    Examples:
      | head                  |
      | status 000            |
      | a blank within a name |

  Scenario: A sound answer
    Given a server that answers with a sound head
    Then the server client takes the answer
    And the plain transport takes the answer
    And the HTTP client takes the answer
    And the engine client takes the answer
