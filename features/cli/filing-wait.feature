Feature: Filing a ticket waits until it is known which instances have applied it

  # Guards against an operator who is told "in force on 1 of 1 live instances" while another one serves.
  Scenario Outline: <case>
    Given a fleet in which <instances>, with an instance list that is "<list>"
    When ticket 2 was accepted <ms> ms ago
    Then the filing <wait>

    Examples: instances as name=applied ticket, with the time since they were heard
      | case                                                     | instances                      | list    | ms    | wait       |
      | all live instances have it                               | a=2 heard 0, b=2 heard 100     | known   | 0     | has ended  |
      | a live instance does not have it                         | a=2 heard 0, b=1 heard 100     | known   | 5000  | waits      |
      | a live instance never gets it                            | a=2 heard 0, b=1 heard 100     | known   | 15001 | has ended  |
      | a listed instance was never heard                        | a=2 heard 0, b=0 heard -1      | known   | 2900  | waits      |
      | a listed instance is not heard in time                   | a=2 heard 0, b=0 heard -1      | known   | 3000  | has ended  |
      | an instance that is not live any more                    | a=2 heard 0, b=1 heard 6000    | known   | 0     | has ended  |
      | the other instances are not known yet                    | a=2 heard 0                    | unknown | 200   | waits      |
      | the other instances cannot be known                      | a=2 heard 0                    | unknown | 3000  | has ended  |
