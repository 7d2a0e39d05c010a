Feature: Only whole events are passed on, each once and in order
  Scenario Outline: <case>
    Given a caller that has events up to "<last>"
    When chunks "<chunks>" arrive
    Then the caller gets events "<events>"
    And an unfinished event is held: "<held>"

    Examples: a chunk lists event numbers; "3a" and "3b" are the halves of event 3; "/" restarts the stream
      | case                                       | last | chunks        | events  | held |
      | whole events pass                          | none | 1 2,3         | 1 2 3   | no   |
      | a half waits for its other half            | none | 1 2a,2b 3     | 1 2 3   | no   |
      | a half at the end is not passed on         | none | 1 2a          | 1       | yes  |
      | a half of a lost server is forgotten       | none | 1 2a,/,2 3    | 1 2 3   | no   |
      | events that the caller has are left out    | none | 1 2 3,/,2 3 4 | 1 2 3 4 | no   |
      | a resumed stream begins after the last one | 5    | 5 6 7         | 6 7     | no   |

  Scenario: A missing event is noticed
    Given a caller that has events up to "2"
    When chunks "4" arrive
    Then a gap is noticed
