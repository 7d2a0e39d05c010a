Feature: A lease is acquired only when its previous holder can no longer hold it
  Scenario Outline: <case>
    Then with a lease row that names "<holder>" and is unchanged for <ms> ms, the decision is "<step>" at "router-1/new"

    Examples: a lease lasts 6 s, and a candidate waits 1 s longer
      | case                                                       | holder       | ms   | step    |
      | a released lease is acquired                               |              | 0    | acquire |
      | a fresh lease is not acquired                              | router-2/x   | 3000 | watch   |
      | a lease that has just expired is not acquired              | router-2/x   | 6500 | watch   |
      | a lease is acquired 1 s after it expired                   | router-2/x   | 7000 | acquire |
      | a lease of an earlier process of this instance is acquired | router-1/old | 0    | acquire |
      | a similar name prefix is another instance                  | router-10/x  | 0    | watch   |
