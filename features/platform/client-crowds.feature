# Guards against crowds of clients whose bodies come in chunks, large ones, very small ones and both, most of them stopping just
# short of their end, that end a router process by its memory or keep it so busy that nobody else is answered. The crowds and
# the bounds are fixed; no check depends on how fast the machine is.
Feature: A router process outlives crowds of clients with bodies in chunks

  Scenario Outline: Clients at "<door>" <way>
    Given a router process on a machine of 250 MB and 600 descriptors
    And what it reads and has not read is watched
    When clients at "<door>" <way>
    Then an ordinary request and a readiness probe are answered, while the crowd stays
    And an ordinary request is answered, when the crowd has left
    And the process runs on, and never had more than 250 MB or 600 descriptors
    And with what it had not read, it never took more than 250 MB

    Examples: at the routes
      | door                   | way                                                                                         |
      | a route                | stop just short of the end of a body in one chunk                                           |
      | a route, without a key | stop just short of the end of a body in large chunks                                        |
      | no route               | stop just short of the end of a body in one chunk                                           |
      | a route                | stop just short of the end of a body in large and very small chunks                         |
      | a route                | stop inside the trailers of a body in chunks                                                |
      | a route                | send whole bodies in chunks of one byte                                                     |
      | a route                | send a whole request, and stop just short of the end of a second body in chunks of one byte |
      | a route                | send bodies in chunks of one byte without end                                               |

    Examples: where bodies are not kept
      | door           | way                                                                 |
      | no route       | send bodies in chunks of one byte without end                       |
      | the ready path | stop just short of the end of a body in chunks of one byte          |
      | readiness      | stop just short of the end of a body in chunks of one byte          |
      | metrics        | stop just short of the end of a body in large and very small chunks |

  # Each of them is cheap to send and costly to read.
  Scenario Outline: 400 clients at "<door>" <way>
    Given a router process on a machine of 250 MB and 4100 descriptors
    And what it reads and has not read is watched
    When 400 clients at "<door>" <way>
    Then an ordinary request and a readiness probe are answered, while the crowd stays
    And an ordinary request is answered, when the crowd has left
    And the process runs on, and never had more than 250 MB or 4100 descriptors
    And with what it had not read, it never took more than 250 MB

    Examples:
      | door      | way                                                        |
      | a route   | stop just short of the end of a body in chunks of one byte |
      | no route  | stop just short of the end of a body in chunks of one byte |
      | a route   | send bodies in chunks of one byte without end              |
      | metrics   | send bodies in chunks of one byte without end              |

  Scenario Outline: Clients <way>, before the process has a configuration
    Given a router process on a machine of 250 MB and 600 descriptors, whose store has no configuration
    And what it reads and has not read is watched
    When clients at "a route" <way>
    And the store gets its configuration
    Then an ordinary request and a readiness probe are answered, while the crowd stays
    And the process runs on, and never had more than 250 MB or 600 descriptors
    And with what it had not read, it never took more than 250 MB

    Examples:
      | way                                                        |
      | stop just short of the end of a body in chunks of one byte |
      | stop just short of the end of a body in one chunk          |

  Scenario Outline: Clients <way>, while the configuration changes the limit of bodies
    Given a router process on a machine of 250 MB and 600 descriptors
    And what it reads and has not read is watched
    When clients at "a route" <way>
    And configurations with limits of bodies of 10000 and 4194304 bytes follow each other
    And clients at "a route" <way>
    Then an ordinary request and a readiness probe are answered, while the crowd stays
    And an ordinary request is answered, when the crowd has left
    And the process runs on, and never had more than 250 MB or 600 descriptors
    And with what it had not read, it never took more than 250 MB

    Examples:
      | way                                                                 |
      | stop just short of the end of a body in large and very small chunks |

  Scenario Outline: Clients <way>, while the process stops
    Given a router process on a machine of 250 MB and 600 descriptors
    And what it reads and has not read is watched
    When clients at "a route" <way>
    Then the process ends by itself after SIGTERM
    And it never had more than 250 MB or 600 descriptors
    And with what it had not read, it never took more than 250 MB

    Examples:
      | way                                                        |
      | stop just short of the end of a body in chunks of one byte |
      | send bodies in chunks of one byte without end              |

  # One message may have 32 MB, the size of the largest configuration.
  Scenario: Peers whose messages stop just short of their end
    Given a router process on a machine of 250 MB and 600 descriptors
    And what it reads and has not read is watched
    When 10 peers each begin 8 messages of 8000000 bytes, and stop just short of their end
    Then an ordinary request and a readiness probe are answered, while the crowd stays
    And the process runs on, and never had more than 250 MB or 600 descriptors
    And with what it had not read, it never took more than 250 MB

  # Guards against a bound that meets callers inside the limits.
  Scenario Outline: A caller inside the limits <request>
    Given a router process on a machine of 250 MB and 600 descriptors
    When a lawful caller <request>
    Then <answers> answers come, all complete, and servers got each request whole
    And no connection was closed to stay within a bound

    Examples:
      | request                                             | answers |
      | sends the largest body in chunks of one byte        | 1       |
      | sends the largest body in one chunk                 | 1       |
      | sends a body with trailers                          | 1       |
      | sends 4 bodies in chunks of one byte after another  | 4       |
