# Guards against part of an answer that passes for a whole one, because only its connection delimits it.
Feature: Answers that their connections end

  Scenario Outline: <reader>: an answer <framing>, then <ending>, to a request that <request>
    Given a server that sends an answer <framing> as soon as it has a request's head, then <ending>
    When <reader> sends it a request that <request>
    Then the answer is <outcome>

    Examples: a server that gives up while it is sent a request
      | reader                        | framing          | ending                                     | request               | outcome    |
      | the server client             | without a length | a reset in the same moment                 | it does not read      | incomplete |
      | the server client             | without a length | a reset in the next turn                   | it does not read      | incomplete |
      | the server client             | without a length | a reset 10 ms later                        | it does not read      | incomplete |
      | the server client             | without a length | its end and a reset in the same moment     | it does not read      | incomplete |
      | the server client             | without a length | its end and a reset 50 ms later            | it does not read      | incomplete |
      | the server client             | without a length | its end, and a reset after 1 MB of reading | it reads in part      | incomplete |
      | the server client             | without a length | a reset in the same moment                 | it could take at once | incomplete |
      | the plain transport           | without a length | a reset in the same moment                 | it does not read      | incomplete |
      | the plain transport           | without a length | a reset in the next turn                   | it does not read      | incomplete |
      | the plain transport           | without a length | a reset 10 ms later                        | it does not read      | incomplete |
      | the plain transport           | without a length | its end and a reset in the same moment     | it does not read      | incomplete |
      | the plain transport           | without a length | its end and a reset 50 ms later            | it does not read      | incomplete |
      | the plain transport           | without a length | its end, and a reset after 1 MB of reading | it reads in part      | incomplete |
      | the plain transport           | without a length | a reset in the same moment                 | it could take at once | incomplete |
      | the plain transport           | without a length | its end, and nothing more                  | it does not read      | incomplete |
      | the plain transport, in parts | without a length | a reset in the same moment                 | it does not read      | incomplete |
      | the plain transport, in parts | without a length | a reset in the next turn                   | it does not read      | incomplete |
      | the plain transport, in parts | without a length | a reset 10 ms later                        | it does not read      | incomplete |
      | the plain transport, in parts | without a length | its end and a reset in the same moment     | it does not read      | incomplete |
      | the plain transport, in parts | without a length | its end and a reset 50 ms later            | it does not read      | incomplete |
      | the plain transport, in parts | without a length | its end, and a reset after 1 MB of reading | it reads in part      | incomplete |
      | the plain transport, in parts | without a length | a reset in the same moment                 | it could take at once | incomplete |
      | the HTTP client               | without a length | a reset in the same moment                 | it does not read      | incomplete |
      | the HTTP client               | without a length | a reset in the next turn                   | it does not read      | incomplete |
      | the HTTP client               | without a length | a reset 10 ms later                        | it does not read      | incomplete |
      | the HTTP client               | without a length | its end and a reset in the same moment     | it does not read      | incomplete |
      | the HTTP client               | without a length | its end and a reset 50 ms later            | it does not read      | incomplete |
      | the HTTP client               | without a length | its end, and a reset after 1 MB of reading | it reads in part      | incomplete |
      | the HTTP client               | without a length | a reset in the same moment                 | it could take at once | incomplete |
      | the HTTP client               | without a length | its end, and nothing more                  | it does not read      | incomplete |

    Examples: a sound server
      | reader                        | framing          | ending                                     | request               | outcome    |
      | the server client             | without a length | its end                                    | it could take at once | whole      |
      | the server client             | without a length | its end                                    | it reads to the end   | whole      |
      | the server client             | with a length    | its end                                    | it reads to the end   | whole      |
      | the server client             | with a length    | a reset in the same moment                 | it does not read      | whole      |
      | the server client             | with a length    | its end and a reset in the same moment     | it does not read      | whole      |
      | the server client             | with a length    | its end and a reset 50 ms later            | it does not read      | whole      |
      | the plain transport           | without a length | its end                                    | it could take at once | whole      |
      | the plain transport           | without a length | its end                                    | it reads to the end   | whole      |
      | the plain transport           | with a length    | its end                                    | it reads to the end   | whole      |
      | the plain transport           | with a length    | a reset in the same moment                 | it does not read      | whole      |
      | the plain transport           | with a length    | its end and a reset in the same moment     | it does not read      | whole      |
      | the plain transport           | with a length    | its end and a reset 50 ms later            | it does not read      | whole      |
      | the plain transport, in parts | without a length | its end                                    | it could take at once | whole      |
      | the plain transport, in parts | with a length    | its end                                    | it reads to the end   | whole      |
      | the plain transport, in parts | with a length    | a reset in the same moment                 | it does not read      | whole      |
      | the plain transport, in parts | with a length    | its end and a reset in the same moment     | it does not read      | whole      |
      | the plain transport, in parts | with a length    | its end and a reset 50 ms later            | it does not read      | whole      |
      | the HTTP client               | without a length | its end                                    | it could take at once | whole      |
      | the HTTP client               | without a length | its end                                    | it reads to the end   | whole      |
      | the HTTP client               | with a length    | its end                                    | it reads to the end   | whole      |
      | the HTTP client               | with a length    | a reset in the same moment                 | it does not read      | whole      |
      | the HTTP client               | with a length    | its end and a reset in the same moment     | it does not read      | whole      |
      | the HTTP client               | with a length    | its end and a reset 50 ms later            | it does not read      | whole      |

  # Guards against a sound answer that is taken for part of one.
  Scenario Outline: <reader>: an answer without a length to an upload that its server has read
    Given a server that reads a whole request, sends an answer without a length and ends its connection
    When <reader> sends it a request that it reads to the end
    Then the answer is whole

    Examples:
      | reader                        |
      | the server client             |
      | the plain transport           |
      | the plain transport, in parts |
      | the HTTP client               |
