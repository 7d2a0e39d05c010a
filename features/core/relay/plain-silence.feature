# Guards against a plain request that is ended, or a server that others lose, because a sound server falls silent and goes on.
Feature: A plain server that falls silent for a while still answers, and stays in use

  Scenario Outline: A <kind> request whose server falls silent <when> for <ms> ms, with <deadline> ms to go
    Given a "<kind>" request to the only server of a plain service, with a deadline of <deadline> ms
    When its server falls silent "<when>" for <ms> ms and goes on
    Then the request ended as "<outcome>" after <ended> ms, and was sent once
    And a further request is sent to that server

    Examples: longer than the pause, the whole answer arrives; shorter, the caller gets the true outcome on time
      | kind           | when            | ms   | deadline | outcome     | ended |
      | idempotent     | before the head | 800  | 1200     | 200         | 800   |
      | idempotent     | within the body | 800  | 1200     | 200         | 800   |
      | non-idempotent | before the head | 800  | 1200     | 200         | 800   |
      | non-idempotent | within the body | 800  | 1200     | 200         | 800   |
      | idempotent     | before the head | 2500 | 4000     | 200         | 2500  |
      | idempotent     | within the body | 2500 | 4000     | 200         | 2500  |
      | non-idempotent | before the head | 2500 | 4000     | 200         | 2500  |
      | non-idempotent | within the body | 2500 | 4000     | 200         | 2500  |
      | idempotent     | before the head | 2500 | 1200     | 504 unknown | 1200  |
      | idempotent     | within the body | 2500 | 1200     | 504 unknown | 1200  |
      | non-idempotent | before the head | 2500 | 1200     | 504 unknown | 1200  |
      | non-idempotent | within the body | 2500 | 1200     | 504 unknown | 1200  |

  # A server whose backlog is full takes no connection. Nothing was sent, so that the refusal is a true promise.
  Scenario Outline: A <kind> request whose server takes no connection in time, with <others> other servers
    Given a "<kind>" request to one of <others> + 1 servers of a plain service
    When its server takes no connection in time
    Then the request is "<outcome>", and the server gets work again after 700 ms

    Examples:
      | kind           | others | outcome           |
      | non-idempotent | 0      | 503 not-run       |
      | idempotent     | 0      | 503 not-run       |
      | non-idempotent | 1      | sent to the other |
      | idempotent     | 1      | sent to the other |
