Feature: Updates carry a deployment from one version to another
  # A list like "a:1 b:2" names routes and states their time-outs in seconds.

  Scenario Outline: <case>
    Given versions of a configuration with routes "<versions>"
    When an instance at version <known> fetches the update and applies it
    Then it has the routes of the last version
    And the update holds <changed> changed and <removed> removed routes

    Examples:
      | case                                        | versions                   | known | changed | removed |
      | a changed route                             | a:1 b:1, a:1 b:2           | 1     | 1       | 0       |
      | an added route                              | a:1, a:1 b:1               | 1     | 1       | 0       |
      | a removed route                             | a:1 b:1, b:1               | 1     | 0       | 1       |
      | all routes removed                          | a:1 b:1,                   | 1     | 0       | 2       |
      | several versions at once                    | a:1 b:1, a:2 b:1, a:2 c:1  | 1     | 2       | 1       |
      | an instance without any configuration       | a:1 b:1, a:2 b:1           | 0     | 2       | 0       |
      | names that do not identify the routes       | a:1 a:2, a:1 a:3           | 1     | 2       | 0       |
      | a version that is not kept any more         | a:1, a:2, a:3, a:4 and 20 more | 1 | 1       | 0       |

  Scenario: An update that builds on another version is not applied
    Given versions of a configuration with routes "a:1 b:1, a:2 b:1"
    When an instance at version 1 fetches the update, and has version 2 of elsewhere when it arrives
    Then the update is not applied
