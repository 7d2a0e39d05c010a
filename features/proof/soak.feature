Feature: The invariants hold in simulated runs with random combinations of faults
  Scenario: A short soak with a fixed seed
    When 25 random runs are executed with seed 1
    Then no invariant is violated
    And every invariant was checked

  Scenario Outline: A run that once failed violates no invariant: <failure>
    When the run <run> is executed
    Then no invariant is violated

    Examples:
      | failure                                                                      | run |
      | a claim was never settled after a late write                                 | {"seed":67453662,"faults":[{"kind":"server-freeze","at":19970,"durationMs":212,"target":857},{"kind":"store-late-writes","at":19539,"durationMs":7896,"target":474},{"kind":"store-down","at":23199,"durationMs":7916,"target":159},{"kind":"lease-holder-pause","at":17371,"durationMs":2255,"target":824}]} |
      | a claim was never settled after slow writes                                  | {"seed":905616241,"faults":[{"kind":"store-late-writes","at":6043,"durationMs":7989,"target":334},{"kind":"store-slow","at":11599,"durationMs":7989,"target":688},{"kind":"plain-flaky","at":6010,"durationMs":7988,"target":62}]} |
      | a lost answer to the forwarded request of a key caused a delay of a minute   | {"seed":28,"faults":[{"kind":"server-freeze","at":12115,"durationMs":4726,"target":938}]} |
