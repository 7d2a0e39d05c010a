# Guards against a router that takes its own standstill for the silence of sound servers, suspects them and refuses requests.
Feature: A process that stood still does not take its servers for dead

  Scenario Outline: The process stands still for <ms> ms just after it has <begun>
    Given a server that answers at once
    When the process stands still for <ms> ms just after it has <begun>
    Then the server's "<answer>" arrives

    Examples: each is longer than the time limit
      | begun                               | ms  | answer   |
      | asked for a report on a new connection  | 150 | report   |
      | asked for a report on a kept connection | 150 | report   |
      | asked it to move a stream           | 400 | taken    |
      | looked whether it listens           | 400 | true     |
      | sent it a booking                   | 400 | complete |
      | sent it a call of our own interface | 700 | 200      |

  Scenario Outline: A server that does not answer is noticed all the same, when <begun>
    Given a server that accepts connections and answers nothing
    When the process has <begun> and runs on
    Then no answer arrives within <ms> ms

    Examples:
      | begun                                   | ms  |
      | asked for a report on a new connection  | 250 |
      | asked it to move a stream               | 500 |
