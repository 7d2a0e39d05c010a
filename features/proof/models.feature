Feature: The core protocols hold in every state of a small model
  Scenario Outline: <model>
    When the model "<model>" is walked to its end
    Then every invariant holds in more than <states> states
    And its broken variant is caught

    Examples:
      | model                         | states |
      | ticket commit                 | 500    |
      | claims                        | 500    |
      | lease, server checks the fence | 500    |
      | lease, server does not check  | 500    |
      | stream recovery               | 500    |
      | ticket spread                 | 500    |
      | one attempt that may run once | 40     |
