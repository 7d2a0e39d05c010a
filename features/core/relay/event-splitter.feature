Feature: Only complete events are forwarded, each once and in order
  Scenario Outline: <case>
    Given a caller that has events up to "<last>"
    When chunks "<chunks>" arrive
    Then the caller gets events "<events>"
    And an incomplete event is buffered: "<buffered>"

    Examples: a chunk lists event numbers; "3a" and "3b" are the halves of event 3; "/" restarts the stream
      | case                                       | last | chunks        | events  | buffered |
      | complete events are forwarded              | none | 1 2,3         | 1 2 3   | no       |
      | a half waits for its other half            | none | 1 2a,2b 3     | 1 2 3   | no       |
      | a half at the end is not forwarded         | none | 1 2a          | 1       | yes      |
      | a half of a lost server is discarded       | none | 1 2a,/,2 3    | 1 2 3   | no       |
      | events that the caller has are skipped     | none | 1 2 3,/,2 3 4 | 1 2 3 4 | no       |
      | a resumed stream begins after the last one | 5    | 5 6 7         | 6 7     | no       |

  Scenario: A missing event is detected
    Given a caller that has events up to "2"
    When chunks "4" arrive
    Then a gap is detected
