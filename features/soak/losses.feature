Feature: The check of lost requests
  A request was sent to router-a at 10.0 s with a deadline of 10 s, and passed on to an engine server at once.

  # Guards against a soak that excuses what it is meant to find, or that blames what a fault explains.
  Scenario Outline: A request that <end>, with <fault>, <verdict>
    Given a request that <end>
    And <fault> around it
    When the losses are checked
    Then the request <verdict>

    Examples: ends
      | end                                | fault    | verdict        |
      | is answered completely             | no fault | was not lost   |
      | is refused                         | no fault | was not lost   |
      | is told that its server is lost    | no fault | was lost       |
      | is cut off after 2 s               | no fault | was lost       |
      | is cut off at its deadline         | no fault | was not lost   |
      | is without an answer after 0.05 s  | no fault | was lost       |
      | is without an answer after 10.5 s  | no fault | was lost       |
      | is not read                        | no fault | was not lost   |
      | is not connected                   | no fault | was not lost   |
      | is not passed on, and closed later | no fault | was lost       |

    Examples: faults
      | end                  | fault                                         | verdict                   |
      | is cut off after 2 s | a silence of its server                       | was lost within a silence |
      | is cut off after 2 s | a stall of the soak                           | was lost                  |
      | is not passed on, and closed later | a stall of the soak             | was not lost              |
      | is cut off after 2 s | a silence of another server                   | was lost                  |
      | is cut off after 2 s | a kill of its instance                        | was not lost              |
      | is cut off after 2 s | a kill of another instance                    | was lost                  |
      | is cut off after 2 s | an early kill of its instance                 | was lost                  |
      | is cut off after 2 s | a crash of a server of its service            | was not lost              |
      | is cut off after 2 s | a crash of a server of another service        | was lost                  |
      | is cut off after 2 s | a stop of its instance                        | was lost                  |
      | is cut off after 2 s | a stop of its instance at the end of its grace | was not lost              |
