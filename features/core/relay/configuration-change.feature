# Guards against a request that was accepted under one configuration and loses its answer to the next one.
Feature: A request in hand keeps the configuration under which it was accepted

  Scenario Outline: A <kind> request, and then <change>
    Given a "<kind>" request that its server is running, with another server of the service
    When "<change>" comes with a new configuration
    And 2000 ms later "<events>" arrive for the request
    Then the request of the older configuration ended as "<outcome>"

    Examples:
      | kind           | change                              | events        | outcome     |
      | non-idempotent | its route is removed                | answer        | 200         |
      | non-idempotent | its service is removed              | answer        | 200         |
      | non-idempotent | its route goes to another service   | answer        | 200         |
      | non-idempotent | its time limit becomes 100 ms       | answer        | 200         |
      | non-idempotent | its account is removed              | answer        | 200         |
      | non-idempotent | its server's entry is removed       | answer        | 200         |
      | non-idempotent | its route becomes idempotent        | lost          | 502 unknown |
      | idempotent     | its route is removed                | answer        | 200         |
      | idempotent     | its route is removed                | lost answer   | 200         |
      | idempotent     | its service is removed              | lost answer   | 200         |
      | idempotent     | its route may use one server only   | lost answer   | 200         |
      | idempotent     | its server's entry is removed       | lost answer   | 200         |
      | streaming      | its route is removed                | event answer  | 200         |
      | streaming      | its service is removed              | event answer  | 200         |
      | streaming      | its service is removed              | event lost event answer | 200 |
      | streaming      | its time limit becomes 100 ms       | event answer  | 200         |
      | streaming      | its route may use one server only   | event lost event answer | 200 |
      | streaming      | its server's entry is removed       | event answer  | 200         |
