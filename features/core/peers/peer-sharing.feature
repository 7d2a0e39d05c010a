Feature: Instances share their state with each other
  Scenario: Outstanding work at the servers is added up over all instances
    Given 3 instances that know each other
    When each has 2 requests at server "s"
    Then within 1000 ms each counts 6 requests at server "s"

  Scenario: The work of an unreachable instance is not counted
    Given 3 instances that know each other
    When each has 2 requests at server "s"
    And instance 0 is unreachable for 4000 ms
    Then within 1000 ms the others count 4 requests at server "s"

  Scenario Outline: An instance that cannot reach the store learns the <what> from a peer
    Given 3 instances that know each other
    When instance 0 learns the <what> from the store
    Then within 1000 ms all know the <what>

    Examples:
      | what                      |
      | configuration             |
      | server entries            |
      | leaving state of a server |
      | removal of a server       |

  Scenario: The pace of a server reaches all instances
    Given 3 instances that know each other
    When instance 0 learns the pace of a server from its answers
    Then within 1000 ms all know the pace of a server

  Scenario: A process that started after its clock went back is accepted once its predecessor is silent
    Given 2 instances that know each other
    When instance 0 starts again after its clock went back
    Then within 100 ms all count 2 live instances

  Scenario: An instance that knows only a seed learns of the others
    Given 2 instances that know each other
    When a third starts with the first as its seed
    Then within 4000 ms all count 3 live instances

  Scenario: In a large fleet, each instance counts all work with a few digests per second
    Given 3 failure domains of 22 instances that know each other
    When each has 2 requests at server "s"
    Then within 3000 ms each counts 132 requests at server "s"
    And no instance sends more than 12 digests per second, besides replies

  Scenario: Work is still counted when the hub of a failure domain is unreachable
    Given 3 failure domains of 4 instances that know each other
    When each has 2 requests at server "s"
    And instance 0 is unreachable for 4000 ms
    Then within 1000 ms the others count 22 requests at server "s"

  Scenario: The age of the peers' work grows while no report arrives, and falls with the next
    Given 3 failure domains of 4 instances that know each other
    When each has 2 requests at server "s"
    Then after 2000 ms all take the work of peers to be between 125 and 750 ms old
    When instance 11 is cut off for 1500 ms
    Then it takes the work of peers to be between 1500 and 2500 ms old
    # A hub's total of all instances is used until it expires, since the one collected meanwhile is incomplete.
    And after 3000 ms all take the work of peers to be between 125 and 750 ms old

  Scenario Outline: What a server reported of its slowness reaches all: <factor>
    Given 3 failure domains of 4 instances that know each other
    When a server tells instance 5 that it takes <factor> times as long
    Then after 1500 ms all take it to be <counted> times as slow

    Examples:
      | factor | counted |
      | 12     | 12      |
      | 1      | 1       |

  Scenario: An outdated entry does not replace a newer one
    Given 2 instances that know each other
    When instance 0 learns the leaving state of a server from the store
    And instance 1 reads an older entry of that server
    Then within 1000 ms all know the leaving state of a server

  Scenario: An instance learns afterwards what it missed while it was unreachable
    Given 3 instances that know each other
    When instance 2 is unreachable for 9000 ms, and instance 0 learns the leaving state of a server meanwhile
    Then within 4000 ms all know the leaving state of a server

  # Guards against instances that rely on each other's word and never read the store themselves.
  Scenario: The age of the store's last answer grows while it is passed round
    Given 3 failure domains of 2 instances that know each other
    When messages take 90 ms, and the store answers instance 0 once
    Then after 6000 ms every other instance holds its confirmation to be at least that old

  # Guards against a hub that is trusted although its members lack what it has.
  Scenario: A peer whose configuration cannot be fetched confirms nothing
    Given 3 instances that know each other
    When the store answers instance 0 all the time, and its new configuration cannot be fetched
    Then after 1500 ms the others have had no confirmation for 1200 ms

  # Guards against a restarted instance that is taken to know what only its earlier process knew.
  Scenario Outline: Instance <instance> starts again and learns the servers that its earlier process knew
    Given 3 instances that know each other
    When instance 0 learns the server entries from the store
    And instance <instance> starts again without any state
    Then within 1000 ms all know the server entries

    Examples: instance 0 had told the others
      | instance |
      | 0        |
      | 1        |

  Scenario: A server's entry is sent to each peer once
    Given 3 instances that know each other
    When instance 0 learns the server entries from the store
    Then within 4000 ms all know the server entries
    And the entry has been sent 2 times

  # Guards against hubs on machines that cannot carry a domain, and against survivors that all follow the store at once.
  Scenario Outline: <killed> of 40 instances of each domain are killed at the same moment
    Given 5 failure domains of 40 instances, three of each on large machines, that know each other
    When each has 2 requests at server "s"
    And of each domain the hub and further instances, <killed> in all, are killed at once
    # Without a confirming exchange for 1 s, instances follow the store.
    Then no survivor is without a confirming exchange for 1000 ms, and within 4000 ms each counts <requests> requests at server "s"
    And the only hub of each domain is one of those that can carry most

    Examples:
      | killed | requests |
      | 1      | 390      |
      | 22     | 180      |

  # Guards against a server that had left and is in use again, since a peer missed its removal.
  Scenario: An instance starts again after a server has left, and a peer that was cut off missed that
    Given 3 instances that know each other
    When instance 2 alone knows a server that has left, and instance 0 reads all entries of the store
    Then within 1000 ms no instance gives new work to that server
