Feature: Costs of a route by predicted time
  Load patterns: a full batch beside an idle server, servers that turn slow, and many instances that choose at
  once among the same servers by the same old figures.

  Scenario Outline: <case>
    Given servers "<servers>" that hold the whole model
    When the servers have the work "<work>"
    Then a request goes to "<chosen>"

    Examples: server:accelerator, server=requests x tokens
      | case                                                 | servers                | work         | chosen |
      | both idle: the faster kind                           | full:whole idle:slower |              | full   |
      | a full batch of short requests beside an idle server | full:whole idle:slower | full=134x60  | idle   |

  Scenario Outline: Streams avoid servers that turn slow: <case>
    # Callers accept pauses of 200 ms; half of that leaves room for waits.
    Given an uneven fleet of 87 servers over three failure domains
    And <share> of 100 servers of each kind and domain take 12 times as long
    When <instances> instances serve 80 requests a second for 8 seconds
    Then at most 10 of 100 streams of the last second have gaps over 100 ms

    Examples:
      | case                        | share | instances |
      | two in five, few instances  | 40    | 6         |
      | two in five, many instances | 40    | 33        |

  Scenario: No server is asked for a report while streams keep their pace
    Given an uneven fleet of 87 servers over three failure domains
    When 33 instances serve 80 requests a second for 2 seconds
    Then no server is asked for a report

  Scenario: Servers are asked ever less while their reports name no slowness
    Given an uneven fleet of 87 servers over three failure domains
    And gaps are 4 times as long for other reasons
    When 6 instances serve 80 requests a second for 8 seconds
    Then servers are asked for at most 3 reports a second by each of 6 instances in 8 seconds

  Scenario: Requests leave a domain at its crest for others at their trough, and the log says why
    Given an uneven fleet of 87 servers over three failure domains
    And 85 percent of domain "a"'s memory is taken
    And 20 percent of domain "b"'s memory is taken
    And 20 percent of domain "c"'s memory is taken
    When 1 instances choose 20 routes each, of which they tell each other nothing
    Then no route stays in domain "a", and one line a domain says what its servers have

  Scenario Outline: Instances that choose at once do not overrun servers: <case>
    # A request that is turned away is tried once more: at one in ten, one in a hundred fails twice.
    Given an uneven fleet of 87 servers over three failure domains
    And memory is taken to between <least> and <most> percent
    When <instances> instances choose <routes> routes each, of which they tell each other nothing
    Then servers turn away at most 10 of 100 requests for want of memory

    Examples: half a second of requests, reports up to 500 ms old
      | case                    | instances | routes | least | most |
      | small instances, uneven | 74        | 1      | 40    | 90   |
      | small instances, crest  | 74        | 1      | 60    | 90   |
      | twice as many requests  | 74        | 2      | 50    | 80   |
      | larger instances        | 33        | 3      | 50    | 90   |

  Scenario Outline: A failure domain that returns is not met by more transfers than the links to it carry: <case>
    # Callers expect the first event within 500 ms; half of that is left for the link.
    Given an uneven fleet of 87 servers over three failure domains
    And memory is taken to between <least> and <most> percent
    And domain "a" returns with idle servers, of which those of the first layer are still suspect
    When <instances> instances choose <routes> routes each, of which they tell each other nothing
    Then transfers keep the link between any two domains busy for at most 250 ms

    Examples: half a second of requests
      | case            | instances | routes | least | most |
      | at usual load   | 33        | 2      | 30    | 50   |
      | at the crest    | 33        | 2      | 50    | 70   |
      | small instances | 74        | 1      | 50    | 70   |
