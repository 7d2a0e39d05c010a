Feature: A request ends once
  Scenario: A refused request whose connection then closes
    Given a dispatcher with one pipeline and one account
    When a request too large for the queue is submitted and its caller then disconnects
    Then it was refused once, as "queue-full"
    And no request counts as open
