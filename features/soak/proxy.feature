Feature: The soak's proxy delivers bytes like TCP while its link fault changes
  The checks of the soak would report bytes that the proxy itself reorders or loses as faults of the router.

  Background:
    Given a caller with a connection to a server through a fault proxy

  Scenario Outline: A delay begins and ends while the <sender> sends
    When the <sender> sends chunks 1 to 4 while the link is "none"
    And the <sender> sends chunks 5 to 9 while the link is "delayed"
    And the <sender> sends chunks 10 to 12 while the link is "none"
    And the <sender> ends its side
    Then the <receiver> receives chunks 1 to 12 in order, then "end"
    And chunks 5 to 9 arrived no earlier than 60 ms after they were sent
    And the proxy has no open socket once both sides have ended

    Examples:
      | sender | receiver |
      | server | caller   |
      | caller | server   |

  Scenario: The end waits behind delayed chunks
    When the server sends chunks 1 to 3 while the link is "delayed"
    And the link becomes "none"
    And the server ends its side
    Then the caller receives chunks 1 to 3 in order, then "end"
    And chunks 1 to 3 arrived no earlier than 60 ms after they were sent

  Scenario: The sender's connection closes while chunks are delayed
    When the caller ends its side
    Then the server receives no chunk, then "end"
    When the server sends chunks 1 to 3 while the link is "delayed"
    And the server ends its side
    Then the caller receives chunks 1 to 3 in order, then "end"
    And chunks 1 to 3 arrived no earlier than 60 ms after they were sent
    And the proxy has no open socket once both sides have ended

  Scenario: The sender's connection closes before a slow receiver has read everything
    When the caller ends its side
    Then the server receives no chunk, then "end"
    When the caller stops reading
    And the server sends chunks 1 to 8 of 2 MB each
    And the server ends its side
    And after 200 ms the caller reads again
    Then the caller receives chunks 1 to 8 in order, then "end"
    And the proxy has no open socket once both sides have ended

  Scenario Outline: The link becomes "<fault>" while chunks are delayed
    When the server sends chunks 1 to 3 while the link is "delayed"
    And the server sends chunks 4 to 6 while the link is "<fault>"
    And the server sends chunks 7 to 9 while the link is "delayed"
    And the server sends chunks 10 to 12 while the link is "none"
    And the server ends its side
    Then the caller has received just chunks 1 to 3 after 200 ms
    And chunks 1 to 3 arrived no earlier than 60 ms after they were sent

    Examples:
      | fault   |
      | silent  |
      | one-way |

  Scenario: A reset of the sender overtakes delayed chunks
    When the server sends chunks 1 to 1 while the link is "delayed"
    And the server resets the connection
    Then the caller receives no chunk, then "ECONNRESET"
    And the proxy has no open socket

  Scenario: A reset by the proxy discards delayed chunks
    When the server sends chunks 1 to 1 while the link is "delayed"
    And the proxy resets the connection
    Then the reset has stopped 1 timer
    And the caller receives no chunk, then "ECONNRESET"
    And the server receives no chunk, then "ECONNRESET"
    And the proxy has no open socket
