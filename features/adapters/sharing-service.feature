Feature: Router instances exchange digests over real sockets

  # Guards against a digest of another build that ends the process that receives it.
  Scenario: A digest that cannot be applied
    Given a sharing service that cannot apply digests
    When a peer sends it 2 digests
    Then both are rejected, and the service has reported 2 failures

  # Guards against a message that ends the process that receives it.
  Scenario Outline: A peer <does> "<message>"
    Given a sharing service that answers
    When a peer <does> "<message>"
    Then the peer gets no digest, and the service answers the next digest

    Examples:
      | does          | message |
      | sends         | null    |
      | sends         | no json |
      | sends         | 7       |
      | asks with     | null    |
      | asks with     | no json |
      | is asked, and replies | null |
      | is asked, and replies | no json |

  # Guards against a peer that is taken for one that never ends its messages, because what it sends adds up.
  Scenario: A peer that sends more over time than the budget of memory
    Given a sharing service that answers, with a budget of 1000 kB for messages
    When a peer sends it 60 digests of 100 kB on one connection
    Then all are answered, nothing of them is counted, and no connection was closed
