Feature: Requests of an instance that stood still wait for the news
  # Servers a, b and c of a plain service; b leaves while the instance stands still, and a is fuller than b and c.
  # Events are answers of the servers and pauses on the clock in milliseconds; "wake" comes after 3 s of standstill,
  # and the news 20 ms after the question, or never.

  Scenario Outline: <case>
    Given an instance whose question after a standstill is answered "<answer>"
    When "<events>" happen
    Then the requests were sent to "<servers>" and the outcome is "<outcome>"

    Examples:
      | case                                            | answer | events                           | servers | outcome |
      | without a standstill nothing waits              | yes    | request                          | b       | open    |
      | a request that arrives first thing after        | yes    | wake request 20                  | c       | open    |
      | nothing is sent before the news                 | yes    | wake request 19                  |         | open    |
      | nobody answers                                  | never  | wake request 399                 |         | open    |
      | nobody answers, after the bound                 | never  | wake request 400                 | b       | open    |
      | its caller has gone meanwhile                   | yes    | wake request gone 20             |         | open    |
      | a lost call is sent again after the news        | yes    | busy-b request wake lost 20      | a c     | open    |
      | a rejected call is sent again after the news    | yes    | busy-b request wake rejected 20  | a c     | open    |
      | a whole answer does not wait                    | yes    | busy-b request wake answered     | a       | 200     |
