Feature: A part of a prompt that crashes servers is kept from them, by all instances
  Requests with one part crash each server that begins to answer them, and arrive at every instance, no two alike. Sound requests of
  the same caller share their first part.

  # Guards against blaming only the server for a crash: each such request then ended one server after the other.
  Scenario Outline: The part is the <place> of three, with one instance restarted after the fifth crash
    Given a store, 8 engine servers that crash on prompt part "bad" and restart, and 3 router instances
    When for 11 seconds requests with the parts "<parts>" and sound requests with the parts "<sound>" arrive at every instance
    And instance 0 restarts 500 ms after the fifth crash
    Then at most 3 requests with the part reach servers later than 3 seconds after the fifth crash
    And at least half of the sound requests later than 6 seconds after it are answered at the first attempt

    Examples: the last part of each prompt is its own; "other" is shared as well
      | place  | parts        | sound        |
      | first  | bad other    | other        |
      | second | shared bad   | shared other |
