# Guards against routers that do not start, or end by themselves, because of what every deployment does to them.
Feature: A router process lives through its deployment

  Background:
    Given a store with a configuration, a server of a plain service, and the settings of a router process

  Scenario: Settings change while the process starts
    When the process starts, and gets SIGHUP every 10 ms from the moment at which it handles it
    Then the process is ready within 10 seconds
    And it handled SIGHUP before half of the time until then had passed
    And it has read its settings again

  Scenario Outline: The address of <listener> is taken when the process starts
    When another program holds the address of "<listener>" for 1000 ms, and the process starts
    Then the process is ready within 10 seconds

    Examples:
      | listener  |
      | callers   |
      | readiness |
      | peers     |
      | metrics   |

  Scenario: The address of the metrics is taken for good
    When another program holds the address of "metrics" for 60000 ms, and the process starts
    Then the process is ready within 10 seconds

  Scenario Outline: The settings file is <state> when the process starts
    When the settings file is "<state>" for 600 ms, and the process starts
    Then the process is ready within 10 seconds

    Examples:
      | state        |
      | empty        |
      | half written |
      | missing      |

  Scenario: The settings file stays invalid
    When the settings file is "half written" for 60000 ms, and the process starts
    Then the process ends with code 1 and one line of error output that names the file

  Scenario: SIGTERM comes twice
    Given the process serves streams
    When it gets SIGTERM twice within 500 ms while a stream is running
    Then the stream is complete, and the process ends with code 0

  # Guards against a stall that cannot be told from the silence of servers afterwards.
  Scenario: A process that stood still says so
    Given the process serves streams
    When it is suspended for 500 ms and goes on
    Then its log and its metrics tell of a stall of 400 ms or more

  # Guards against a process that takes its own stall for the silence of its servers, and leaves sound ones.
  Scenario: A process that is suspended for moments suspects no server that goes on
    Given the process serves streams
    When for 5 seconds long streams come, and it is suspended for 60 to 400 ms every 500 ms, seed 7
    Then no long stream is cut, all are complete unless the server stood, and no server was suspected that did not stand
