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
