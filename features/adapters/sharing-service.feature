Feature: Router instances exchange digests over real sockets

  # Guards against a digest of another build that ends the process that receives it.
  Scenario: A digest that cannot be applied
    Given a sharing service that cannot apply digests
    When a peer sends it 2 digests
    Then both are rejected, and the service has reported 2 failures
