Feature: Every instance has the newest configuration within its time limit

  Background:
    Given a failure domain of 22 instances whose links carry 14 Mbit per second, and a configuration with 250 routes

  # Guards against a large configuration that a hub with a narrow link never delivers to its members.
  Scenario: A configuration with 1650 routes replaces a small one
    When the operator writes a configuration with 1650 routes
    Then each version is in force at every instance within 3000 ms

  Scenario: A large configuration changes in quick succession
    When the operator writes a configuration with 1650 routes
    And 4000 ms later it is changed 12 times, every 330 ms
    Then each version is in force at every instance within 3000 ms

  Scenario: The hub is lost while a large configuration changes
    When the operator writes a configuration with 1650 routes
    And 4000 ms later the first 4 instances by name are lost
    And 200 ms later it is changed 12 times, every 330 ms
    Then each version is in force at every instance within 3000 ms
