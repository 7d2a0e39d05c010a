Feature: The cases of the review before a landing

  # Guards against cases that no longer run and are taken for cases that hold.
  Scenario: Cases that end in each way
    When the script of the review plays these cases:
      | case         | exits with | records                                  |
      | sound        | 0          | 100 start entry-1                        |
      | planned-stop | 0          | 100 end entry-1 code=0 signal=null       |
      | broken       | 1          | 100 start entry-1                        |
      | not-ready    | 2          | 100 start entry-1                        |
      | crashed      | 127        | 100 start entry-1                        |
      | process-end  | 0          | 100 end entry-1 code=1 signal=null       |
      | killed       | 0          | 100 end entry-1 code=null signal=SIGKILL |
      | missing      |            |                                          |
    Then it reports these cases, and exits with 1:
      | case         | result          |
      | sound        | held            |
      | planned-stop | held            |
      | broken       | broken          |
      | not-ready    | could not run   |
      | crashed      | could not run   |
      | process-end  | a process ended |
      | killed       | a process ended |
      | missing      | could not run   |

  # Guards against routers that do not start on the settings that the deploy file's template gives a machine.
  Scenario: A case of the review runs and holds without trouble
    When the script of the review plays case 5 without trouble
    Then it reports these cases, and exits with 0:
      | case | result |
      | 5    | held   |
