Feature: Every answer of a server tells what it says of itself

  Scenario Outline: <call>, <answer>
    Given a server whose answers are "<answer>" with "server-leaving: 1"
    When a <call> is sent to it
    Then its process is known to be leaving

    Examples:
      | call    | answer            |
      | request | 200 whole         |
      | request | 200 cut           |
      | request | 200 other-request |
      | request | 503 not-executed  |
      | request | 500 whole         |
      | report  | 200 json          |
      | report  | 200 whole         |
      | report  | 503 whole         |
      | report  | 200 cut           |
      | order   | 202 json          |
      | order   | 409 json          |
      | order   | 503 whole         |
      | reroute | 202 json          |
      | reroute | 404 json          |

  Scenario Outline: answers with "<header>" say nothing of leaving
    Given a server whose answers are "200 whole" with "<header>"
    When a request is sent to it
    Then its process is not known to be leaving

    Examples:
      | header            |
      | server-leaving: 0 |
      | server-leaving:   |
      | x-other: 1        |
