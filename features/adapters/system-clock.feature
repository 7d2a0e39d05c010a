# Guards against streams that look silent, and answers that come too late, since the process itself stood still.
Feature: What has arrived while the process stood is handled before the timers that became due meanwhile

  Scenario Outline: <case>
    Given an answer that another thread sends after <answer> ms
    When a timer of <timer> ms runs beside it, and the process stands for <stall> ms
    Then first comes "<first>"

    Examples:
      | case                                                | answer | timer | stall | first  |
      | without a stall, an answer in time                  | 20     | 150   | 0     | answer |
      | without a stall, an answer too late                 | 300    | 100   | 0     | timer  |
      | an answer that came while the process stood         | 20     | 100   | 250   | answer |
      | an answer that comes after the process stood        | 600    | 100   | 250   | timer  |
      | a timer that is due after the process stood         | 20     | 400   | 250   | answer |

  Scenario: A timer that is stopped after a stall does not run
    Given an answer that another thread sends after 20 ms
    When a timer of 100 ms runs beside it, and the process stands for 250 ms
    Then the answer stops the timer for good
