Feature: Streams are rerouted around a server that stalls them
  Streams over three servers in series; one of the servers crashes, freezes or is cut off in mid-stream.

  Scenario Outline: <case>
    Given a stream over three servers with an event every <pace> ms
    When server "<server>" falls silent
    Then within <limit> ms the stream <result>

    Examples: a pause may last at most 200 ms; the limits leave the rest for prefill on the new servers
      | case                                           | server | pace | limit | result                                |
      | a later server falls silent                    | s2     | 20   | 170   | has a new route without that server   |
      | the first server falls silent                  | s1     | 20   | 170   | resumes at another first server       |
      | a later server falls silent, at a usual pace   | s2     | 45   | 190   | has a new route without that server   |
      | the first server falls silent, at a usual pace | s1     | 45   | 190   | resumes at another first server       |

  Scenario: A pause while every server is alive is not a fault
    Given a stream over three servers that has begun
    When nothing arrives for 700 ms although every server reports
    Then the stream keeps its route

  Scenario: A stream is rerouted around a server that the first one is waiting for, even if that server answers
    Given a stream over three servers that has begun
    When the first server reports that it is waiting for "s2"
    Then within 800 ms the stream has a new route without that server

  Scenario: Streams are rerouted around a leaving server before it stops
    Given a stream over three servers that has begun
    When server "s2" announces that it is leaving
    Then within 1400 ms the stream has a new route without that server

  # Guards against a caller that reads slowly and costs sound servers their good name.
  Scenario: A caller that takes nothing does not make its servers look silent
    Given a stream over three servers that has begun
    When the caller takes nothing for 3000 ms, while no server reports
    Then no server was asked for a report
    And the stream keeps its route

  Scenario: Once the caller reads on, a silent server is noticed as before
    Given a stream over three servers that has begun
    When the caller takes nothing for 3000 ms, while no server reports
    And the caller reads on
    And server "s2" falls silent
    Then within 170 ms the stream resumes at another first server

  Scenario: A process that was stalled does not blame its servers
    Given a stream over three servers that has begun
    When the process stalls for 3000 ms while events wait to be read
    Then the stream keeps its route

  Scenario: A domain that is cut off becomes suspect as a whole
    # This happens when a domain is lost while routes pass through several of its servers.
    Given a stream over three servers that has begun
    When 3 servers of domain "b" fall silent and are detected
    Then its other servers get no work either, except one that answered just now

  Scenario Outline: <case>
    Given a stream over three servers that has begun
    When 3 servers of domain "b" fall silent and are detected
    And after <ms> ms they answer again
    Then they get work again within <limit> ms

    Examples: suspects are probed before they get requests again
      | case                                    | ms   | limit |
      | suspects that do not answer yet         | 4000 | 1500  |
      | suspects that answer are used again     | 300  | 800   |
