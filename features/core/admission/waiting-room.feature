Feature: Room that becomes free is offered to waiting requests by rank, and fairly between accounts
  # An entry is `<id>:<account>:<rank>`, with `:return` if the request was refused before.

  Scenario Outline: <case>
    Given <places> places to wait
    When "<entries>" come while there is no room
    And room for <room> requests becomes free
    Then "<sent>" are sent in order
    And "<refused>" are refused

    Examples:
      | case                                                   | places | entries                                      | room | sent        | refused |
      | the more urgent go first                               | 8      | a:x:2 b:x:1 c:x:0                            | 3    | c b a       |         |
      | what does not fit goes on waiting                      | 8      | a:x:2 b:x:1 c:x:0                            | 2    | c b         |         |
      | an account with most requests takes turns with others  | 8      | a:big:1 b:big:1 c:big:1 d:one:1 e:two:1      | 3    | a d e       |         |
      | an account takes half of the places at most            | 4      | a:big:1 b:big:1 c:big:1 d:one:1 e:two:1      | 4    | a d e b     | c       |
      | a full room: a less urgent one makes place             | 4      | a:x:2 b:y:2 c:z:2 d:w:2 e:v:0                | 4    | e b c d     | a       |
      | a full room: one that is no more urgent is refused     | 4      | a:x:1 b:y:1 c:z:1 d:w:1 e:v:1                | 4    | a b c d     | e       |
      | who comes back goes before newcomers of its rank       | 8      | a:x:1 b:x:1 c:x:1:return d:y:0               | 3    | d c a       |         |
