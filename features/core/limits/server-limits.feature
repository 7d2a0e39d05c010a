Feature: All instances together keep to the limit that a server names
  Scenario Outline: <instances> instances, a limit of <limit> a second, <demand> requests a second
    Given <instances> instances that share a limit of <limit> requests a second
    When for 60 seconds <demand> requests a second arrive at random instances
    Then no 4 s have more than one and a half times the limit and 5 requests
    And at least <used> in 100 of the smaller of demand and limit are sent

    # An allowance that no request asks for within 2 s lapses, so with scarce demand at each instance some are lost.
    Examples:
      | instances | limit | demand | used |
      | 6         | 1     | 40     | 90   |
      | 6         | 6.5   | 40     | 90   |
      | 6         | 20    | 40     | 90   |
      | 66        | 1     | 150    | 90   |
      | 66        | 6.5   | 150    | 90   |
      | 66        | 40    | 150    | 90   |
      | 66        | 10    | 10     | 20   |

  Scenario Outline: A burst of 20 requests at each of <instances> instances after 60 idle seconds
    Given <instances> instances that share a limit of <limit> requests a second
    When nothing arrives for 60 seconds, then 20 requests at each instance at once
    Then no 4 s have more than one and a half times the limit and 5 requests

    Examples:
      | instances | limit |
      | 6         | 1     |
      | 6         | 6.5   |
      | 66        | 1     |
      | 66        | 6.5   |

  Scenario Outline: <case>
    When a server's answers name the limits "<named>", one a second
    Then the limit in force is <limit>, and a request is "<decision>" after further <wait> ms

    Examples:
      | case                                       | named | limit | decision | wait  |
      | the newest answer counts                   | 5 2   | 2     | allowed  | 1000  |
      | an answer without a limit ends it          | 5 -   | 0     | allowed  | 0     |
      | it may begin again                         | 5 - 3 | 3     | allowed  | 1000  |
      | a limit that no answer repeats is forgotten | 0.001 | 0    | allowed  | 31000 |
      | until then it holds                        | 0.001 | 0.001 | refused  | 29000 |
      | a restarted process has none               | 0.001 r | 0   | allowed  | 0     |

  Scenario: An end that an instance hears of replaces the limit, and the older word does not return
    Given two instances that tell each other of limits every 250 ms
    When a server names a limit of 4 to the first, and 2000 ms later no limit to the second
    Then after 1500 ms neither knows a limit
