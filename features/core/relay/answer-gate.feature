# Guards against answers that reach a caller although they are not whole, not the server's own, or cannot be sent.
Feature: One table decides whether a server's answer may be passed on

  Scenario Outline: <policy>: <head>
    When the answer to a "<policy>" has the head "<head>"
    Then it is judged "<verdict>"

    Examples: what the server's head says goes before what its status says
      | policy            | head                      | verdict         |
      | repeatable-call   | 200                       | forward         |
      | repeatable-call   | 404                       | forward         |
      | repeatable-call   | 500                       | forward-if-last |
      | repeatable-call   | 503 not-executed          | not-run         |
      | repeatable-call   | 503 not-executed unsigned | not-run         |
      | repeatable-call   | 200 unsigned              | discard         |
      | repeatable-call   | 200 encoded               | discard         |
      | repeatable-call   | 200 unsendable            | discard         |
      | repeatable-call   | 500 unsendable            | discard         |
      | single-call       | 200                       | forward         |
      | single-call       | 500                       | forward         |
      | single-call       | 503 not-executed          | not-run         |
      | single-call       | 503 not-executed unsendable | discard       |
      | repeatable-call   | 503 not-executed unsendable | discard       |
      | single-stream     | 503 not-executed unsendable | discard       |
      | resumed-stream    | 503 not-executed unsendable | discard       |
      | single-call       | 200 unsendable            | discard         |
      | single-call       | 503                       | discard         |
      | single-call       | 429                       | discard         |
      | single-call       | 408                       | discard         |
      | single-call       | 504                       | forward         |
      | single-stream     | 503                       | discard         |
      | repeatable-call   | 503                       | forward-if-last |
      | repeatable-call   | 429                       | forward         |
      | repeatable-stream | 200                       | forward-events  |
      | repeatable-stream | 500                       | forward         |
      | repeatable-stream | 200 unsigned              | discard         |
      | repeatable-stream | 200 unsendable            | discard         |
      | single-stream     | 200                       | forward-events  |
      | single-stream     | 500                       | forward         |
      | single-stream     | 503 not-executed          | not-run         |
      | resumed-stream    | 200                       | forward-events  |
      | resumed-stream    | 500                       | discard         |
      | resumed-stream    | 204                       | discard         |
      | resumed-stream    | 200 unsigned              | discard         |
      | resumed-stream    | 503 not-executed          | not-run         |
