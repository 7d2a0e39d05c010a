Feature: Work is held back from servers that asked for a pause
  # Answers are "server pause" in milliseconds, with "via X" where X answered and the server is at fault; numbers
  # between them are pauses on the clock. Servers a and b can each be the first of a route, c cannot.

  Scenario Outline: <case>
    When servers answer "<answers>"
    Then after <ms> ms requests can go to "<first>" and routes can pass through "<later>"

    Examples:
      | case                                                  | answers                 | ms     | first | later |
      | nothing was asked for                                 |                         | 0      | a b   | a b c |
      | a pause                                               | a:2000                  | 1999   | b     | b c   |
      | its end                                               | a:2000                  | 2000   | a b   | a b c |
      | a fraction                                            | a:0.5                   | 0      | b     | b c   |
      | none                                                  | a:0                     | 0      | a b   | a b c |
      | the longest pause counts                              | a:2000 a:500            | 1999   | b     | b c   |
      | a later pause extends                                 | a:2000 1000 a:2000      | 1999   | b     | b c   |
      | a pause of none ends no other                         | a:2000 a:0              | 1999   | b     | b c   |
      | an absurd one has a bound                             | a:1e12                  | 299999 | b     | b c   |
      | its end                                               | a:1e12                  | 300000 | a b   | a b c |
      | without end                                           | a:Infinity              | 300000 | a b   | a b c |
      | a later server at fault, which the first one answers  | c:2000/a                | 0      | b     | a b   |
      | both are free again                                   | c:2000/a                | 2000   | a b   | a b c |
      | a first server at fault as a later one                | b:2000/a                | 0      |       | a c   |
      | a server at fault that has gone                       | x:2000/a                | 0      | b     | a b c |
      | the new process is not held                           | a:2000 a-restarts       | 0      | a b   | a b c |
      | an answer of the old process does not hold the new    | a-restarts a-old:2000   | 0      | a b   | a b c |
      | nor does it replace the new one's pause               | a-restarts a:500 a-old:2000 | 499 | b    | b c   |
      | a pause is neither leaving nor suspicion nor fullness | a:100 100               | 0      | a b   | a b c |
      | leaving outlasts a pause                              | a:100 a-leaves          | 100    | b     | b c   |
      | a pause under a limit                                 | a-limit a:100           | 99     | b     | b c   |

  Scenario Outline: when the service can be used again: <case>
    When servers answer "<answers>"
    Then after <ms> ms a <service> service whose servers hold "<spans>" is held for "<held>" ms

    Examples: spans are those of a, b and c, in layers
      | case                                         | answers             | service | spans          | ms   | held |
      | no pause                                     |                     | plain   | 0-1 0-1 0-1    | 0    | none |
      | one of three                                 | a:900               | plain   | 0-1 0-1 0-1    | 0    | none |
      | all, the earliest end counts                 | a:900 b:500 c:700   | plain   | 0-1 0-1 0-1    | 0    | 500  |
      | after a while                                | a:900 b:500 c:700   | plain   | 0-1 0-1 0-1    | 100  | 400  |
      | the other ones leave                         | a:900 b-leaves c-leaves | plain | 0-1 0-1 0-1  | 0    | 900  |
      | all leave                                    | a-leaves b-leaves c-leaves | plain | 0-1 0-1 0-1 | 0  | none |
      | a full server may be used                    | a:900 b:500 c-full  | plain   | 0-1 0-1 0-1    | 0    | none |
      | first servers of an engine                   | a:900 b:500         | engine  | 0-40 0-40 40-80 | 0   | 500  |
      | a first server is left                       | a:900               | engine  | 0-40 0-40 40-80 | 0   | none |
      | the only server of later layers              | c:900               | engine  | 0-40 0-40 40-80 | 0   | 900  |
      | first and later servers, the later end       | a:900 b:500 c:700   | engine  | 0-40 0-40 40-80 | 0   | 700  |
      | layers that nobody holds                     | a:900 b:500         | engine  | 0-40 0-40 50-80 | 0   | none |
      | a whole model beside parts                   | a:900 c:500         | engine  | 0-80 0-40 40-80 | 0   | 500  |

  Scenario Outline: orders: <case>
    When servers answer "<answers>"
    Then orders to hold layers can go to "<servers>"

    Examples:
      | case                                            | answers             | servers |
      | a suspect may have restarted without its layers | a-fails             | a b c   |
      | a server that asked for a pause                 | a:2000              | b c     |
      | a suspect that asked for a pause                | a-fails a:2000      | b c     |
      | one that answered for another at fault          | c:2000/a            | b       |
      | a leaving server                                | a-leaves            | b c     |
