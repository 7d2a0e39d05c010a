Feature: Separate processes serve like the demo
  Scenario: SIGTERM to one entry under load ends no request
    Given a platform, two entry instances and two backend servers as processes
    And a ticket filed with the command line
    Then every kind of request of the demo is answered whole at each instance
    When one entry instance gets SIGTERM while 30 streams run
    Then every stream is whole and the process ends by itself

  Scenario Outline: A settings file with <case>
    When the settings check reads "<text>"
    Then it exits with <code> and prints "<output>"

    Examples:
      | case       | text                                  | code | output                  |
      | two faults | instance: A;failureDomain: d;callers: {address: nowhere} | 1 | line 3: callers.address |
      | no content | {}                                    | 1    | line 1: instance        |
