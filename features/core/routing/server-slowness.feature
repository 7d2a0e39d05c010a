Feature: Slow servers are known by their own reports and those that peers have heard
  Scenario Outline: <case>
    When a server's slowness is reported as "<reports>"
    Then after <ms> ms it counts as <factor> times as slow

    Examples: at the time in ms, from the server or a peer, factor (for a peer also the age in ms)
      | case                                          | reports                                   | ms   | factor |
      | nothing is known                              |                                           | 0    | 1      |
      | the server's own report                       | 0:server:12                               | 100  | 12     |
      | a small factor is none                        | 0:server:1.1                              | 100  | 1      |
      | a very large one is bounded                   | 0:server:400                              | 100  | 20     |
      | a report counts for some seconds              | 0:server:12                               | 5100 | 1      |
      | it recovers                                   | 0:server:12 1000:server:1                 | 1100 | 1      |
      | a peer's report                               | 0:peer:12:300                             | 100  | 12     |
      | a peer's report that is too old               | 0:peer:12:6000                            | 100  | 1      |
      | a relayed report does not bring slowness back | 0:server:12 900:server:1 1000:peer:12:900 | 1100 | 1      |
