Feature: Servers that a plain call may go to

  # Guards against calls that are refused as not run although their servers work: layers say nothing of a plain service.
  Scenario Outline: All servers of a plain service are marked "<mark>"
    Given a plain service whose two servers are marked "<mark>"
    When a plain call is sent
    Then the plain call ends with "<end>" after reaching <reached> servers

    Examples:
      | mark     | end                 | reached |
      | none     | 200                 | 1       |
      | loading  | 200                 | 1       |
      | degraded | 200                 | 1       |
      | suspect  | 503 not-run no-route | 0      |
      | leaving  | 503 not-run no-route | 0      |

  Scenario: A server that is not slow is preferred
    Given a plain service whose first server is marked "degraded"
    When a plain call is sent 20 times
    Then all plain calls went to the second server
