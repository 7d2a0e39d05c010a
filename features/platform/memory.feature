# Guards against a router that is killed for its memory, with all requests in hand, although no single message exceeds its bound.
Feature: The memory of a router process stays within its machine's

  Scenario Outline: <load>, beside sound requests
    Given a router process on a machine of 350 MB, with engine and plain servers
    When <callers> <load>
    And 50 sound requests a second and 10 streams come for 5 seconds
    Then each sound request and stream was answered completely
    And the process runs on, and never took more than 350 MB

    Examples: each message is below its own bound
      | callers | load                                                        |
      | 60      | callers wait for plain answers that stop after 7.5 of 8 MB  |
      | 60      | callers do not read plain answers of 8 MB                   |
      | 120     | callers without a key stop after 3.9 MB of a body of 4 MB   |
      | 120     | callers with a key stop after 3.9 MB of a body of 4 MB      |
