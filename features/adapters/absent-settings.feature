Feature: Fields without a value in settings files

  # Guards against daemons that do not start because an optional field of their file is empty.
  Scenario Outline: The settings of <daemon> with <part>, which may be absent, empty
    Given complete settings of "<daemon>"
    When "<part>" has no value in the daemon's file
    Then the daemon's file is valid, and "<part>" is <value>

    Examples:
      | daemon   | part                 | value                |
      | entry    | callers.maxBodyBytes | 1048576              |
      | entry    | stop.balancerMs      | 2000                 |
      | entry    | stop                 | {"balancerMs": 2000} |
      | platform | instances            | []                   |
      | backend  | layerMs              | 0.05                 |
      | backend  | stepMs               | 1                    |
      | backend  | checksFence          | true                 |
      | backend  | loadMs               | 500                  |

  # Guards against settings that are taken for something else because null counts as absent.
  Scenario Outline: The settings of <daemon> with <part>, which is <what>, empty
    Given complete settings of "<daemon>"
    When "<part>" has no value in the daemon's file
    Then the daemon's file has one fault, which says "<fault>"

    Examples:
      | daemon   | part           | what             | fault                                                                                                                        |
      | entry    | operators      | needed           | operators: is not stated. State it                                                                                           |
      | entry    | peers.secret   | needed           | peers.secret: is not stated. State it                                                                                        |
      | entry    | callers.adress | unknown          | callers: Unrecognized key: "adress"                                                                                          |
      | platform | instances.0    | an entry of a list | instances.0: Invalid input: expected object, received null. See docs/SETTINGS.md for the values that the field accepts. |
      | backend  | name           | needed           | name: is not stated. State it                                                                                                |
