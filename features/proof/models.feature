Feature: The invariants of the core protocols hold in every state of a small model
  Scenario Outline: <model>
    When the model "<model>" is explored completely
    Then every invariant holds in more than <states> states
    And the defect of its broken variant is found

    Examples:
      | model                                  | states |
      | ticket commit                          | 500    |
      | claims                                 | 500    |
      | lease, server checks the fence         | 500    |
      | lease, server does not check the fence | 500    |
      | stream recovery                        | 500    |
      | ticket propagation                     | 500    |
      | one attempt that may run at most once  | 40     |
