# Guards against two holders of one lease after the table comes back from a copy that lacks the last acquisition.
Feature: A lease has one holder although its table comes back from an older copy
  Scenario Outline: <case>
    Given candidates A and B of a lease, and <history>
    When the table is away for 1000 ms and comes back from the copy
    Then for 20000 ms at most one of them holds the lease
    And one of them holds it in the end, with a higher fencing number than any before

    Examples:
      | case                                              | history                                                             |
      | the copy lacks the row                            | A acquires it after the copy                                        |
      | the copy has the row as released                  | B releases it before the copy and A acquires it after               |
      | the copy names a holder whose lease has expired   | B holds it at the copy and A acquires it after B no longer may      |
      | an acquisition is carried out after the return    | B's acquisition is under way while A's takes place, after the copy  |
      | the holder renews its lease at once               | A acquires it before the copy                                       |
      | the holder ends while the table is away           | A acquires it after the copy and then ends                          |
