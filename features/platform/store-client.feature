Feature: Calls to the store over kept connections

  # Guards against calls that wait for one silent connection after another.
  Scenario: After a call that got no answer, the next one opens a new connection
    Given a client of the store with 3 idle connections
    When the open connections to the store become silent, and a call gets no answer
    Then the next call is answered
