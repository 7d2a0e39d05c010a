Feature: Separate processes serve completions and calls of a plain service
  Scenario: SIGTERM to one entry instance under load interrupts no request
    Given a platform, two entry instances and two backend servers as processes
    And a ticket filed with the command line
    Then each instance answers a streamed completion, a chat completion, a read and a booking completely
    When one entry instance receives SIGTERM while 30 streams run
    Then every stream is complete and the process exits by itself

  Scenario Outline: A settings file with <case>
    When the settings check reads "<text>"
    Then it exits with <code> and prints "<output>"

    Examples:
      | case               | text                                  | code | output                  |
      | an invalid address | instance: A;failureDomain: d;callers: {address: nowhere} | 1 | line 3: callers.address |
      | no content         | {}                                    | 1    | line 1: instance        |
