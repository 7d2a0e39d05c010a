Feature: Streams that wait for their first event are limited while callers leave without one

  Scenario Outline: <case>
    Given a service whose objective is 500 ms
    When streams "<steps>"
    Then <limit> streams may wait

    Examples: "open" takes a place, "first" and "left" end the oldest one, a number is a pause in milliseconds
      | case                                                       | steps                                        | limit    |
      | a service without evidence is not limited                  | open open open 5000 first first              | Infinity |
      | late first events are no evidence                          | open 1900 first                              | Infinity |
      | a caller that leaves early is no evidence                  | open open open open open 300 left            | Infinity |
      | a caller that waited in vain is evidence                   | open*10 2000 left                            | 7        |
      | callers that leave together count once                     | open*10 2000 left left left                  | 7        |
      | callers that go on leaving shrink the limit                | open*10 2000 left 600 left                   | 4        |
      | the limit leaves places to prove the service               | open*10 2000 left 600 left 600 left 600 left | 2        |
      | a first event in time raises the limit                     | open*10 2000 left 600 left*9 open 100 first  | 5        |
      | a late first event does not                                | open*10 2000 left 600 left*9 open 900 first  | 4        |
      | a limit ends without further evidence                      | open*10 2000 left 3100                       | Infinity |

  # Instances that send 9 streams for every 10 that the servers can begin; a fault then takes two thirds of the
  # servers for four seconds, and service has to be back 12 seconds later. Callers leave after two seconds without an event and come back once.
  Scenario Outline: <case>
    Given 40 instances <limits> streams that wait, before servers in series that are used at 90 of 100
    When two thirds of the servers are lost for 4 seconds
    Then 12 seconds later the share of streams that begin in time is <share> of 100

    Examples:
      | case                                              | limits  | share       |
      | with limits the backlog is gone soon              | limit   | at least 80 |
      | without them it outlasts the fault that caused it | accept  | at most 40  |
