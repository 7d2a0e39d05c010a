Feature: A table of the store is followed through failures
  Scenario Outline: <case>
    Given a follower of a table with entries "a b"
    When these events happen at the store: "<events>"
    Then the follower has received "<known>"
    And it has read the whole table <reads> times

    Examples: "+x" adds an entry; "fail" fails one call; "forget" drops the history of changes
      | case                                            | events              | known   | reads |
      | changes are followed                            | +c +d               | a b c d | 1     |
      | failed calls are retried                        | fail fail fail +c   | a b c   | 1     |
      | lost history causes a full read                 | +c forget +d        | a b c d | 2     |
      | a failure after lost history causes a full read | forget fail fail +c | a b c   | 2     |
