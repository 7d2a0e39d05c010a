Feature: An instance stays at the newest ticket

  # Guards against an instance that trusts the head of peers which do not send it their tickets.
  Scenario: Peers confirm a newer head, but do not send its tickets
    Given an instance at ticket 5 that is no poller
    When ticket 7 is the newest, and a peer confirms it every 500 ms without sending tickets
    Then within 2500 ms ticket 7 is in force

  Scenario: Peers confirm the head that is in force
    Given an instance at ticket 5 that is no poller
    When ticket 5 is the newest, and a peer confirms it every 500 ms without sending tickets
    Then within 2500 ms it has not read the table service
