# Guards against whole requests that are cut, or get no answer, beside changes of the configuration while sound servers
# are silent for a moment and others are full.
Feature: Configurations in series, beside servers that fall silent and go on, cost no accepted request its answer

  Scenario: 40 configurations within 10 seconds, with streams and bookings under way
    Given a store, engine and plain servers of two failure domains, and 2 router processes that have answered
    When for 40 configurations, 230 ms apart, requests come beside SIGHUPs, silences of 800 to 2500 ms and full servers, seed 43
    Then every request got a complete answer or a refusal, and none was cut
    And as every server is sound, no request ended without word on whether it ran
    And each router process applied the last configuration
