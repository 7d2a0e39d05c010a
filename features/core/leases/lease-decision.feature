Feature: A lease is acquired only when its previous holder can no longer hold it
  Scenario Outline: <case>
    Then a row held by "<holder>", unchanged for <ms> ms, requires the step "<step>" of "router-1/new"

    Examples: a lease lasts 6 s, and a candidate waits 1 s longer
      | case                                        | holder       | ms   | step    |
      | a released lease is acquired                |              | 0    | acquire |
      | a fresh lease is not acquired               | router-2/x   | 3000 | watch   |
      | nor is one that has only just expired       | router-2/x   | 6500 | watch   |
      | after the margin it is acquired             | router-2/x   | 7000 | acquire |
      | an earlier run of this process has ended    | router-1/old | 0    | acquire |
      | a similar name prefix is another instance   | router-10/x  | 0    | watch   |
