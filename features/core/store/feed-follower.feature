Feature: A table of the store is followed through trouble
  Scenario Outline: <case>
    Given a table with entries "a b"
    When the store "<events>"
    Then the follower knows "<known>"
    And it has read everything <reads> times

    Examples: "+x" adds an entry; "fail" refuses one call; "forget" drops the history
      | case                                    | events             | known   | reads |
      | changes are followed                    | +c +d              | a b c d | 1     |
      | refusals are waited out                 | fail fail fail +c  | a b c   | 1     |
      | after lost history everything is read   | +c forget +d       | a b c d | 2     |
      | a refusal after lost history as well    | forget fail fail +c | a b c  | 2     |
