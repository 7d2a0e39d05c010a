# Guards against messages in very many small parts, whose memory goes by their parts instead of their bytes.
Feature: The bytes of a message that is still coming

  Scenario Outline: <parts> parts of <size> bytes
    Given a budget of 100000 kB of memory
    When a message comes in <parts> parts of <size> bytes
    Then it is complete, and at most <counted> bytes were counted for it until then
    And while it was put together, at most <worst> bytes were

    # At most twice the bytes, and the overhead of each block, until the end, and then the bytes once more.
    Examples:
      | parts  | size    | counted | worst   |
      | 0      | 1       | 0       | 0       |
      | 1      | 4       | 512     | 512     |
      | 1000   | 1       | 3500    | 4800    |
      | 100000 | 1       | 203000  | 303300  |
      | 20     | 65536   | 1316000 | 2627000 |
      | 1      | 1000000 | 1000256 | 1000256 |
      | 3      | 70000   | 281000  | 491300  |

  Scenario: A message that spends the budget
    Given a budget of 10 kB of memory
    When a message comes in 20 parts of 1000 bytes
    Then its holder ends, and nothing is counted any more

  Scenario: A message that is dropped
    Given a budget of 100 kB of memory
    When a message comes in 20 parts of 1000 bytes
    And it is dropped
    Then nothing is counted any more

  # The body takes far more than any of the others, and is the only one that gets on.
  Scenario Outline: A body of 400 kB beside messages that send <bytes> bytes now and then
    Given a budget of 1000 kB of memory
    When 90 messages of 10 kB stop, and go on with <bytes> bytes every 500 ms
    And a body of 400 kB comes meanwhile, 4 kB every 100 ms
    Then the body is complete, and only others have ended

    Examples:
      | bytes |
      | 0     |
      | 1     |
      | 40    |
