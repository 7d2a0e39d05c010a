Feature: What follows a request on its connection does not cost it its answer

  # Guards against requests that were read ahead of a stop and get neither an answer nor a refusal.
  Scenario Outline: Requests that were sent ahead are answered although a stop begins <when>
    Given an instance that answers requests when it is told to
    When the caller sends 3 requests ahead, and the stop begins <when> the first is answered
    Then all 3 are answered in order, and the connection is closed after the last one

    Examples:
      | when                        |
      | before                      |
      | between the head and end of |

  # Guards against an answer to the wrong request, and against a false promise that a request has not run.
  Scenario Outline: <what> follows a request that a server is running
    Given an instance that answers requests when it is told to
    When the caller sends a request, and then "<what>"
    And the request is answered after <ms> ms
    Then the caller got that answer alone, and the connection is closed

    Examples: Node looks every 5 s for heads that have taken more than 3 s
      | what                        | ms   |
      | bytes that are no request   | 200  |
      | a head that is too large    | 200  |
      | half a head                 | 5600 |

  Scenario Outline: <what> on a connection without a request is refused at once
    Given an instance that answers requests when it is told to
    When the caller sends "<what>" alone
    Then it is refused with status <status>, and the connection is closed

    Examples:
      | what                      | status |
      | bytes that are no request | 400    |
      | a head that is too large  | 431    |
