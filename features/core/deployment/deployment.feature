Feature: What is believed of routes, accounts and servers
  Scenario Outline: <host> <path> takes the route "<route>"
    Given routes "host/a/ host/a/b/ other/"
    Then a request for "<host>" "<path>" takes route "<route>"

    Examples: the longest prefix that begins the path
      | host  | path     | route    |
      | host  | /a/x     | host/a/  |
      | host  | /a/b/x   | host/a/b/ |
      | host  | /ab      | none     |
      | other | /x       | other/   |
      | none  | /a/x     | none     |

  Scenario Outline: <case>
    When versions "<arrivals>" of the configuration arrive
    Then version <force> is in force

    Examples:
      | case                         | arrivals | force |
      | newer ones replace older     | 3 7      | 7     |
      | a stale read changes nothing | 7 3      | 7     |
      | a repeated one neither       | 7 7      | 7     |

  Scenario Outline: <case>
    Given a server that is ready
    When its entry "<changes>"
    Then after <ms> ms it gets new work: "<works>"

    Examples: "trouble" is a failed read of the store; numbers are pauses in milliseconds
      | case                                             | changes                  | ms   | works |
      | a draining server gets none                      | draining                 | 0    | no    |
      | a removed one neither                            | removed                  | 0    | no    |
      | one that lapsed while the store was away is kept | trouble removed          | 1000 | yes   |
      | until two seconds after its return               | trouble removed          | 2500 | no    |
      | one that came back is used                       | trouble removed ready    | 2500 | yes   |
      | a stale entry does not bring a leaving one back  | draining stale           | 0    | no    |
      | a new start of the same server is used           | draining born            | 0    | yes   |
      | its address is another's by now: it has ended    | reused                   | 0    | no    |
      | an older entry at its address changes nothing    | reused-before            | 0    | yes   |
      | a suspicion lapses                               | suspect                  | 800  | yes   |
      | a suspect gets none                              | suspect                  | 100  | no    |
      | a second failure in a row counts for longer      | suspect 800 suspect      | 1000 | no    |
      | a server that turned a request away rests        | turned                   | 100  | no    |
      | not for long                                     | turned                   | 200  | yes   |
      | one that turns all away is passed over           | turned 200 turned 400 turned 700 turned | 700 | no |
      | requests turned away at the same time are one    | turned turned turned     | 200  | yes   |
      | work that it took ends the series                | turned 200 turned 400 took turned | 200 | yes |
      | a sign of life between them does not             | suspect 800 proof suspect | 800 | yes   |
