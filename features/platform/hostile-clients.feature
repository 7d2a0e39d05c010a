# Guards against clients outside the limits that end a router process, each with little: by its memory, its heap or its
# descriptors. Bodies in one piece and answers that are not read are in memory.feature; headers that cannot be sent on
# are in ingress.feature.
Feature: A router process outlives clients that keep to no limits

  Scenario Outline: Clients at "<door>" <way>
    Given a router process on a machine of 250 MB and 600 descriptors
    When clients at "<door>" <way>
    Then an ordinary request and a readiness probe are answered, while the crowd stays
    And the process runs on, and never had more than 250 MB or 600 descriptors

    Examples: bodies of legal size, and far larger ones
      | door                   | way                                                             |
      | a route                | stop just short of the end of a body in small pieces            |
      | a route, without a key | stop just short of the end of a body in small pieces            |
      | a route                | stop just short of the end of a body in chunks of one byte      |
      | no route               | stop just short of the end of a body in chunks of one byte      |
      | a route                | stop just short of the end of a body with long chunk extensions |
      | a route                | send bodies without end                                         |
      | the ready path         | send bodies without end                                         |
      | readiness              | send bodies without end                                         |
      | metrics                | send bodies without end                                         |

    Examples: heads of legal size with very many fields
      | door           | way                                                               |
      | a route        | send heads of very many short fields, and stop inside the body    |
      | the ready path | send heads of very many short fields, and stop before their end   |
      | a route        | send 60 requests of very many short fields ahead without reading  |
      | no route       | send 60 requests of very many short fields ahead without reading  |
      | readiness      | send 60 requests of very many short fields ahead without reading  |

      | a route        | send very many query parameters, and stop inside the body         |
      | no route       | send very many query parameters, and stop inside the body         |

    Examples: answers that are not taken
      | door    | way                                        |
      | a route | read a byte of a large answer now and then |

    Examples: requests sent ahead
      | door           | way                                      |
      | a route        | send 2000 requests ahead without reading |
      | no route       | send 2000 requests ahead without reading |
      | the ready path | send 2000 requests ahead without reading |
      | readiness      | send 2000 requests ahead without reading |
      | metrics        | send 2000 requests ahead without reading |

    Examples: clients that stop half-way, or send a byte now and then
      | door      | way                                 |
      | a route   | connect and send nothing            |
      | a route   | stop half-way through a head        |
      | a route   | stop half-way through a body        |
      | no route  | send a byte of a body now and then  |
      | a route   | send a byte of a head now and then  |
      | readiness | stop half-way through a head        |
      | metrics   | send a byte of a head now and then  |
      | peers     | connect and send nothing            |
      | peers     | send bytes that are no request      |

  # With all the descriptors of a machine, heads alone fill the heap.
  Scenario Outline: 3000 clients at "<door>" <way>
    Given a router process on a machine of 250 MB and 4100 descriptors
    When 3000 clients at "<door>" <way>
    Then an ordinary request and a readiness probe are answered, while the crowd stays
    And the process runs on, and never had more than 250 MB or 4100 descriptors

    Examples:
      | door    | way                                                             |
      | a route | send heads of very many short fields, and stop inside the body  |
      | a route | send heads of very many short fields, and stop before their end |

  # Guards against a bound that meets callers inside the limits.
  Scenario Outline: A caller inside the limits <request>
    Given a router process on a machine of 250 MB and 600 descriptors
    When a lawful caller <request>
    Then <answers> answers come, all complete, and servers got each request whole
    And no connection was closed to stay within a bound

    Examples:
      | request                                                  | answers |
      | sends a head of 16000 bytes in very short fields         | 1       |
      | sends a body in chunks of one byte                       | 1       |
      | sends a byte of its body now and then                    | 1       |
      | sends 8 requests ahead and reads all answers             | 8       |

  Scenario: Hundreds of callers behind one address keep their connections
    Given a router process on a machine of 250 MB and 4100 descriptors
    When 800 callers send a request, wait for 2 seconds and send another one on the same connections
    Then 1600 answers come, all complete, and servers got each request whole
    And no connection was closed to stay within a bound
