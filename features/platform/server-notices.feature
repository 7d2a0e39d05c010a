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

  Scenario Outline: a pause of "<headers>" means <ms> ms
    Given a server whose answers are "503 not-executed" with "<headers>"
    When a request is sent to it
    Then it has asked for a pause of "<ms>" ms

    Examples: headers are separated by semicolons; a date counts from the date of the answer
      | headers                                                                             | ms      |
      | x-other: 1                                                                          | none    |
      | retry-after: 2                                                                      | 2000    |
      | retry-after: 1.5                                                                    | 1500    |
      | retry-after: .25                                                                    | 250     |
      | retry-after: 3.                                                                     | 3000    |
      | retry-after:  4                                                                     | 4000    |
      | retry-after: 0                                                                      | 0       |
      | retry-after: 0.0004                                                                 | 0.4     |
      | retry-after: 100000000                                                              | 1e11    |
      | retry-after: -1                                                                     | none    |
      | retry-after: +1                                                                     | none    |
      | retry-after: 1e3                                                                    | none    |
      | retry-after: 0x10                                                                   | none    |
      | retry-after: Infinity                                                               | none    |
      | retry-after: NaN                                                                    | none    |
      | retry-after: 1, 2                                                                   | none    |
      | retry-after: 5 s                                                                    | none    |
      | retry-after: soon                                                                   | none    |
      | retry-after:                                                                        | none    |
      | retry-after: Sun, 06 Nov 1994 08:49:37 GMT; date: Sun, 06 Nov 1994 08:49:30 GMT     | 7000    |
      | retry-after: Sun, 06 Nov 1994 08:49:37 GMT; date: Sun, 06 Nov 1994 08:49:40 GMT     | 0       |
      | retry-after: Sun, 06 Nov 1994 08:49:37 GMT                                          | none    |
      | retry-after: Sun, 99 Nov 1994 08:49:37 GMT; date: Sun, 06 Nov 1994 08:49:30 GMT     | none    |

  Scenario Outline: <call>, <answer>, asks for a pause: <ms> ms
    Given a server whose answers are "<answer>" with "retry-after: 2"
    When a <call> is sent to it
    Then it has asked for a pause of "<ms>" ms

    Examples: a repeated answer to an earlier request asked for its pause before
      | call    | answer            | ms   |
      | request | 503 whole         | 2000 |
      | request | 503 cut           | 2000 |
      | request | 503 other-request | none |
      | report  | 503 whole         | 2000 |
      | order   | 503 json          | 2000 |
      | reroute | 503 json          | 2000 |
