# Guards against crowds whose messages are costly to read, which keep a process from reading those of others.
Feature: The input of many connections is read in turns

  Background: A piece of a costly message takes 1 ms, one of a large body 0.02 ms, and an ordinary request 0.2 ms
    Given connections whose input is read in turns

  Scenario: Input is read at once while there is time
    When ordinary requests arrive on 20 connections, one every 5 ms
    Then each was read when it arrived

  Scenario Outline: An ordinary request beside <crowd> costly messages
    When <crowd> costly messages of 300 pieces arrive at once
    And an ordinary request arrives after <after> ms
    Then it was read after at most <wait> ms
    And the event loop came round every 12 ms or sooner

    # A turn of 10 ms, the last piece of it, and at first one piece of each that comes before it.
    Examples:
      | crowd | after | wait |
      | 20    | 100   | 12   |
      | 400   | 1000  | 12   |
      | 400   | 3000  | 12   |
      | 400   | 0     | 830  |

  Scenario: A large body beside costly messages is read to its end
    When 400 costly messages of 300 pieces arrive at once
    And a large body of 256 pieces arrives after 1000 ms
    Then the large body is read to its end, and was not ended

  Scenario Outline: <count> costly messages of <pieces> pieces, <outcome>
    When <count> costly messages of <pieces> pieces arrive at once
    And all input has been read
    Then at least <read> messages are read to their end, and at most <ended> are ended

    Examples:
      | count | pieces | read | ended | outcome                         |
      | 1     | 20000  | 1    | 0     | however long it takes           |
      | 8     | 2000   | 8    | 0     | as many as are read at once     |
      | 100   | 15     | 100  | 0     | which is done within the wait   |
      | 400   | 300    | 8    | 392   | which is more than can be read  |

  Scenario: A message of its own account follows a costly one
    When a connection sends 50 messages of 6 pieces, beside 100 costly messages of 300 pieces
    Then its messages are read to their end, and none was ended
