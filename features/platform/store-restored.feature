Feature: The store comes back from an older copy, over real sockets
  Background:
    Given a store that states its era, two plain servers and a router instance

  # Guards against a configuration that is missed because the store has given out again the version that a feed goes on from.
  Scenario: A configuration is written under a version that is passed again before the next read
    Given the configuration changes, and 3 other rows are written
    When the store is away for 300 ms and comes back without that
    And it holds the new configuration 7 with the key "key-7" and 9 other rows when it answers again
    Then within 2000 ms a request with "key-7" is answered

  # Guards against entries of servers that are ignored because they had higher versions before.
  Scenario: A server whose entry changed in the lost time leaves after the return
    Given server 0 changes its entry after 9 other rows were written
    When the store is away for 300 ms and comes back without that
    And server 0 announces after the return that it leaves
    Then within 2000 ms no request reaches server 0

  # Guards against a new server that counts as removed, since the last complete read had a higher version.
  Scenario: A server is new after the return
    Given the configuration changes, and 9 other rows are written
    When the store is away for 300 ms and comes back without that
    And server 2 is new after the return
    Then 3000 ms later requests reach server 2

  # Guards against a copy that brings a server back into use that has announced its leaving.
  Scenario: The copy shows a server as ready that had announced its leaving
    Given server 0 announces that it leaves, which the instance learns
    When the store is away for 300 ms and comes back without that
    Then for 1500 ms no request reaches server 0

  # Guards against instances that later starters cannot find, since the store has lost their addresses.
  Scenario: The store has lost the address of an instance
    Given another instance has started
    When the store is away for 300 ms and comes back without that
    Then within 4000 ms the store holds the addresses of 2 instances

  # Guards against an instance that knows a lost leaving only from a peer and keeps the copy's entry of the same version.
  Scenario: An instance that starts after the return learns from a peer what the copy lacks
    Given server 0 announces that it leaves, which the instance learns
    When the store is away for 300 ms and comes back without that
    And the instance has read the copy, and another one starts with it as its seed
    Then within 2000 ms no request to the other one reaches server 0
