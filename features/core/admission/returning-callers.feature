Feature: A request that was refused lately is known again when it comes back
  Scenario Outline: <case>
    Given a request that was refused, and <others> others since
    When it comes back <times> times, the last time <ms> ms after its refusal
    Then it counts as <known>

    Examples:
      | case                                          | others | times | ms    | known      |
      | its caller followed the retry-after delay     | 0      | 1     | 6000  | a return   |
      | it comes back late                            | 0      | 1     | 11000 | a newcomer |
      | a refusal counts for one return               | 0      | 2     | 2000  | a newcomer |
      | a crowd was refused since                     | 1200   | 1     | 6000  | a newcomer |
