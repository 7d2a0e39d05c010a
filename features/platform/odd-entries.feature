Feature: Odd entries among those of the servers harm nobody
  # Guards against an instance that ends, or no longer follows the list, because of an entry that another writer left.
  Scenario Outline: An entry with <oddity>
    Given a store with two plain servers, an engine server and a router instance
    When the store holds an entry with <oddity>, and then a third plain server
    Then all of 40 requests to "/read/" and of 10 to "/stream/" are answered, some of them at the third server
    And the instance counts as unreadable "<unreadable>" such an entry

    Examples:
      | oddity                              | unreadable |
      | an address with a port out of range | yes        |
      | an address that is out of range     | yes        |
      | 20000 nested lists                  | yes        |
      | a number too large                  | yes        |
      | a span of a billion layers          | no         |
      | a key that no header may hold       | yes        |
      | a text that is not JSON             | yes        |
