Feature: A fleet of instances stops a part that crashes servers
  Requests arrive at any instance; every fifth has the part "bad" besides a part that sound requests share.

  Scenario Outline: <domains> failure domains of <instances> instances, <cut>
    Given <domains> failure domains of <instances> instances that send requests to <servers> servers
    When for 30 seconds <rate> requests a second arrive, and failure domains are cut off from each other: "<isCut>"
    Then in each part of the fleet that can exchange digests, at most 3 requests with the part are sent later than 3 s after its fifth crash
    And at most 3 servers end later than 1000 ms after the fifth crash of their part of the fleet
    And at least half of the sound requests later than 6 s after the fifth crash are answered at the first attempt

    # All instances hear of a crash within 1000 ms; the others are single requests that try the part again.
    Examples:
      | domains | instances | servers | rate | isCut | cut                     |
      | 3       | 2         | 12      | 40   | no    | connected               |
      | 3       | 22        | 36      | 150  | no    | connected               |
      | 3       | 2         | 36      | 40   | yes   | cut off from each other |
      | 3       | 22        | 98      | 150  | yes   | cut off from each other |
