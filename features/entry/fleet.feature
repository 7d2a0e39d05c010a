@fleet
Feature: A fleet serves requests over real sockets on the loopback interface
  Background:
    Given a running fleet

  Scenario Outline: <shape> completions, stream <stream>
    When a caller asks for 9 tokens in the "<shape>" shape with stream "<stream>"
    Then the answer is complete and has that shape

    Examples:
      | shape | stream |
      | text  | false  |
      | text  | true   |
      | chat  | false  |
      | chat  | true   |

  Scenario Outline: Request refused: <case>
    When a caller sends "<method>" "<path>" with "<body>" and headers "<headers>"
    Then the answer is <status> with outcome "<outcome>" and reason "<reason>"

    Examples:
      | case              | method | path                 | body                                                | headers                      | status | outcome | reason           |
      | body is not JSON  | POST   | /v1/completions      | {                                                   |                              | 400    | not-run | bad-request      |
      | no prompt         | POST   | /v1/completions      | {"model":"glue-schedules"}                          |                              | 400    | not-run | bad-request      |
      | unknown pipeline  | POST   | /v1/completions      | {"model":"nothing","prompt":"x"}                    |                              | 404    | not-run | unknown-pipeline |
      | unknown service   | GET    | /services/nothing/x  |                                                     |                              | 404    | not-run | unknown-service  |
      | wrong key         | POST   | /v1/completions      | {"model":"glue-schedules","prompt":"x"}             | authorization=Bearer wrong   | 401    | not-run | unauthorized     |
      | no such path      | GET    | /v2/nothing          |                                                     |                              | 400    | not-run | bad-request      |
      | key with a space  | POST   | /v1/completions      | {"model":"glue-schedules","prompt":"x"}             | idempotency-key=a b          | 400    | not-run | bad-request      |
      | body too large    | POST   | /v1/completions      | LARGE                                               |                              | 413    | not-run | body-too-large   |

  Scenario Outline: Malformed HTTP: <case>
    When a caller writes the raw bytes "<bytes>"
    Then the instance answers with status "<answer>" and closes the connection

    Examples:
      | case                        | bytes                                                                                                | answer |
      | length and chunked          | POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n  | 400    |
      | length twice                | POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nabcd       | 400    |
      | header injection            | GET /v1/models HTTP/1.1\r\nHost: x\r\nA: b\rc: d\r\n\r\n                                             | 400    |
      | no host                     | GET /v1/models HTTP/1.1\r\n\r\n                                                                      | 400    |

  Scenario: A request ends when its caller disconnects
    When a caller disconnects in the middle of a stream
    Then the instance has no request in progress

  Scenario: A stage fails in the middle of a stream
    When a stage is killed after 5 chunks of a stream of 60 tokens
    Then the caller receives one complete answer of 60 tokens

  Scenario: A stage freezes in the middle of a stream
    When a stage freezes for 6000 ms after 5 chunks of a stream of 60 tokens
    Then the caller receives one complete answer of 60 tokens

  Scenario: A keyed booking that is sent several times runs once
    When a booking is sent 5 times at once through different instances with one key
    Then every answer is the same and the booking ran once
    And the same key with another body is refused as "claim-mismatch"

  # Guards against a keyed booking that is refused or runs twice, since the servers of its service fall silent and go on.
  Scenario Outline: A keyed booking whose servers fall silent for <ms> ms
    When the plain servers fall silent for <ms> ms, and a booking with one key is sent through 3 instances
    Then each answer to the keyed booking is complete and the same, and comes after the silence
    And the keyed booking ran once
    And a booking with another key is answered at once

    Examples:
      | ms   |
      | 800  |
      | 2500 |

  Scenario: The platform is down
    When the platform is down
    Then a keyed booking is refused as not run
    And a booking with a minted key runs once through any instance
    And completions are still served
    And a ticket filed during the outage has a known outcome after the platform recovers

  Scenario: A failure domain is cut off from the platform
    When "almaty-3" is cut off from the platform
    Then the cut-off instances serve completions and refuse keyed bookings as not run
    And a ticket filed in another failure domain is in force on them within 5 seconds
    And the cut-off instances hold the newest ticket after the reconnection

  Scenario: Two operators change one object at the same time
    When two tickets for the same server are filed at once
    Then exactly one is accepted and the refusal of the other names the accepted ticket

  Scenario: A drained server gets no new request
    When a server is drained by ticket
    Then it gets no new request after 3 seconds

  Scenario: Every instance is replaced under load
    When every instance is replaced in turn while streams are sent
    Then every stream is complete, no ticket went back and all instances hold the same ticket
