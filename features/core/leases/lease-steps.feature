Feature: A lease changes hands only when its holder cannot hold it any longer
  Scenario Outline: <case>
    Then a row held by "<holder>", unchanged for <ms> ms, is to be "<step>" by "router-1/new"

    Examples: leases hold for 6 s, and a candidate waits 1 s more
      | case                                        | holder       | ms   | step    |
      | a free row is taken                         |              | 0    | acquire |
      | another's fresh row is left alone           | router-2/x   | 3000 | watch   |
      | another's row is left for its whole time    | router-2/x   | 6500 | watch   |
      | then it is taken                            | router-2/x   | 7000 | acquire |
      | an earlier run of this process has ended    | router-1/old | 0    | acquire |
      | a name that begins alike is another process | router-10/x  | 0    | watch   |
