Feature: Settings that the platform does not state

  # Guards against routers that end at each start because their machine's sheet leaves out a limit that has a default.
  Scenario Outline: A router starts without a limit of its machine: no <limits>, <form>
    Given a settings template filled in for a machine without "<limits>"
    When fields without a value are <form> in the router's file
    Then the file is valid, with <messageMb> MB for messages, <connections> callers' connections and a hub capacity of <capacity>

    Examples:
      | limits                                              | form     | messageMb | connections | capacity |
      | none of them                                        | null     | 70        | 1680        | 5.4      |
      | max_fds                                             | null     | 70        | 1638        | 5.4      |
      | max_fds                                             | left out | 70        | 1638        | 5.4      |
      | memory_mb                                           | null     | 50        | 1680        | 5.4      |
      | memory_mb                                           | left out | 50        | 1680        | 5.4      |
      | cpu_fraction                                        | null     | 70        | 1680        | 0        |
      | cpu_fraction                                        | left out | 70        | 1680        | 0        |
      | cores                                               | null     | 70        | 1680        | 2.7      |
      | cores                                               | left out | 70        | 1680        | 2.7      |
      | link_mbps                                           | null     | 70        | 1680        | 0        |
      | link_mbps                                           | left out | 70        | 1680        | 0        |
      | max_fds, memory_mb, cpu_fraction, cores, link_mbps  | null     | 50        | 1638        | 0        |
      | max_fds, memory_mb, cpu_fraction, cores, link_mbps  | left out | 50        | 1638        | 0        |

  # Guards against routers that end at their start, or take an empty value, because the platform knows no peers.
  Scenario: A router starts without peers to ask, and not as the first of its fleet, where neither is stated
    Given a settings template filled in for a machine without "seeds, bootstrap"
    Then the router's file is valid, with no peers to ask, and it does not start for the first time

  # Guards against a start that fails without saying which value is missing and what to do about it.
  Scenario Outline: A router's file without <platformField>, which it needs: <form>
    Given a settings template filled in for a machine without "<platformField>"
    When fields without a value are <form> in the router's file
    Then the file has one fault, at line <line>, which says that "<field>" is not stated and where to state it

    Examples:
      | platformField         | form     | line | field                |
      | node_name             | null     | 2    | instance             |
      | node_name             | left out | 1    | instance             |
      | zone                  | null     | 3    | failureDomain        |
      | listen.frontend       | null     | 5    | callers.address      |
      | listen.frontend       | left out | 4    | callers              |
      | listen.readiness      | null     | 7    | readiness.address    |
      | listen.control_plane  | null     | 9    | peers.address        |
      | platform.address      | null     | 14   | store.address        |
      | bounds.drain_ms       | null     | 23   | bounds.drainMs       |
      | bounds.drain_ms       | left out | 23   | bounds.drainMs       |
      | bounds.grace_s        | null     | 24   | bounds.stopGraceS    |
      | bounds.retry_ratio    | null     | 25   | bounds.retryShare    |
      | bounds.retry_slack    | null     | 26   | bounds.retrySlack    |
      | bounds.retry_window_s | null     | 27   | bounds.retryWindowS  |

  # Guards against a machine without an address of its own, of which nothing but a port is filled in.
  Scenario: A router's file without the machine's address names the listener that lacks it
    Given a settings template filled in for a machine without "ip"
    Then the file has one fault, and it names "metrics.address"
