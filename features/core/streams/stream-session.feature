Feature: A stream of our own interface keeps a server that may still give its answer
  # The server gives a token, pauses, and goes on to the end of the answer.

  @known-red
  # Guards against an answer that is given up for the silence of a server that goes on, though no other may run it.
  Scenario: The engine of a session that may run once pauses for 4 s
    Given a session of a "single" stream with 30 s left
    When its engine pauses for 4000 ms after a token, and there are routes "always"
    Then the session ends as "complete" after 1 opening

  @known-red
  # Guards against an answer that is given up before there is another route for it.
  Scenario: The engine of a session pauses for 4 s, and there is no other route
    Given a session of a "repeatable" stream with 30 s left
    When its engine pauses for 4000 ms after a token, and there are routes "once"
    Then the session ends as "complete" after 1 opening

  # Guards against a session that ends with the first search for a route in vain.
  Scenario: The engine of a session is lost, and there is no route for 5 s
    Given a session of a "repeatable" stream with 30 s left
    When its engine is lost after a token, and there is a route 5000 ms later
    Then the session ends as "complete" after 2 openings
