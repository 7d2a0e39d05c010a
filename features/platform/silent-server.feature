Feature: A fake server that falls silent

  # Guards against a silence that holds only streams in hand: the end of an answer sent what was held before.
  Scenario Outline: It holds <what> until it goes on
    Given a fake server that is silent for 400 ms
    When it is asked for <what>
    Then the answer is complete 300 ms later at the earliest

    Examples:
      | what              |
      | a report          |
      | a whole answer    |
      | a complete stream |
