Feature: Every way to a server asks whether a part of the request is held back

  # Guards against a way to a server that does not ask: each one would end servers.
  Scenario Outline: <case>
    Given a stream request with the shared parts "known bad" to four servers, and servers that have ended <before> times under "bad"
    When these happen: "<events>"
    Then the request was sent <sends> times, its caller gets "<outcome>", and its last connection is "<connection>"

    # "crash": a server ends under another request with "bad"; "lost": the request's own server ends, which counts as one more
    Examples:
      | case                                                         | before | events                  | sends | outcome     | connection |
      | a new request is sent while the evidence is not enough       | 2      | start                   | 1     | open        | open       |
      | a new request is refused, and nothing of it runs             | 3      | start                   | 0     | 503 not-run | none       |
      | a request in progress is taken back from its server          | 2      | start crash             | 1     | 502 unknown | closed     |
      | a request is not sent again                                  | 2      | start lost wait         | 2     | 502 unknown | closed     |
      | a stream that has begun goes on                              | 2      | start e1 e2 crash       | 1     | open        | open       |
      | a stream that has begun is resumed                           | 2      | start e1 e2 crash lost  | 2     | open        | open       |
      | after one event it is taken back: a crash may follow the first | 2    | start e1 crash          | 1     | cut         | closed     |
      | an answered request releases the part                        | 3      | answer start            | 1     | open        | open       |
      | a server that goes on after a lost connection did not crash  | 2      | start reset wait        | 2     | open        | open       |
