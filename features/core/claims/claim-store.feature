Feature: A key whose request was never dispatched can be used again

  # Guards against a claim that was inserted, could not be read back, and stays running for good.
  Scenario Outline: <case>
    Given a table service whose calls end like this: "<calls>"
    When a keyed request is sent, and sent again 10000 ms later
    Then the first is refused as not run, and the second is answered

    Examples: r and w are a read and a write that work, R a read that fails, W a write that is made and not answered
      | case                                               | calls               |
      | the read after the insert fails                    | r w R               |
      | reads fail for a while after the insert            | r w R R R R R R     |
      | the insert's answer is lost, reads fail for a while | r W R R R R R R R R |
