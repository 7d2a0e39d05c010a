Feature: A request in hand ends under the configuration under which it was accepted
  # The routes allow 3 servers and 3000 ms, and a request may wait 500 ms for room. "served" is the rest of a whole
  # answer, "lost" a connection that the server breaks; the answer of a call counts as event 1.

  # Guards against a newer configuration that ends, shortens or strands what was accepted before it.
  Scenario Outline: A request <state>, whatever the configuration that comes, then <events>
    When each change of the configuration comes to a request "<state>", and then "<events>"
    Then the caller gets "<outcome>" with events "<text>" after <sends> sends each time

    Examples: what is accepted
      | state                   | events                   | outcome     | text | sends |
      | that waits for room     | room served              | 200         | 1234 | 1     |
      | that waits for room     | no-room                  | 503 not-run |      | 0     |
      | that has been sent      | served                   | 200         | 1234 | 1     |
      | that has been sent      | lost served              | 200         | 1234 | 2     |
      | that has been sent      | lost lost served         | 200         | 1234 | 3     |
      | that has been sent      | time-out                 | 504 unknown |      | 1     |
      | in mid-stream           | served                   | 200         | 1234 | 1     |
      | in mid-stream           | lost served              | 200         | 1234 | 2     |
      | in mid-stream           | lost lost served         | 200         | 1234 | 3     |
      | in mid-stream           | time-out                 | cut         | 12   | 1     |
      | being rerouted          | taken served             | 200         | 1234 | 1     |
      | being rerouted          | refused served           | 200         | 1234 | 1     |
      | being rerouted          | lost served              | 200         | 1234 | 2     |
      | whose caller stops      | reads-on served          | 200         | 1234 | 1     |
      | whose caller stops      | lost reads-on served     | 200         | 1234 | 2     |
      | that books              | served                   | 200         | 1    | 1     |
      | that books              | lost                     | 502 unknown |      | 1     |
      | that books              | time-out                 | 504 unknown |      | 1     |
      | that reads              | lost served              | 200         | 1    | 2     |
      | that reads              | lost lost served         | 200         | 1    | 3     |
      | that reads              | time-out                 | 504 unknown |      | 1     |

  # Guards against an answer that is given up, or sent to a server that must get no work, since an entry changes.
  Scenario Outline: A request <state>: <change>, then <events>
    When the entry change "<change>" comes to a request "<state>", and then "<events>"
    Then the caller gets "<outcome>" with events "<text>" after <sends> sends each time
    And no server that leaves, and no earlier address of a server, got work after the change

    Examples:
      | state               | change                  | events           | outcome     | text | sends |
      | that waits for room | first servers leave     | no-room          | 503 not-run |      | 0     |
      | that waits for room | first-1 leaves          | room served      | 200         | 1234 | 1     |
      | that waits for room | first servers restart   | room served      | 200         | 1234 | 1     |
      | that has been sent  | its first is removed    | served           | 200         | 1234 | 1     |
      | that has been sent  | its first is removed    | lost served      | 200         | 1234 | 2     |
      | that has been sent  | its first restarts      | lost served      | 200         | 1234 | 2     |
      | that has been sent  | others restart          | lost served      | 200         | 1234 | 2     |
      | in mid-stream       | its first is removed    | served           | 200         | 1234 | 1     |
      | in mid-stream       | its first is removed    | lost served      | 200         | 1234 | 2     |
      | in mid-stream       | its first restarts      | served           | 200         | 1234 | 1     |
      | in mid-stream       | its first restarts      | lost served      | 200         | 1234 | 2     |
      | in mid-stream       | others restart          | lost served      | 200         | 1234 | 2     |
      | in mid-stream       | its later is removed    | served           | 200         | 1234 | 1     |
      | in mid-stream       | its later restarts      | served           | 200         | 1234 | 1     |
      | in mid-stream       | all are removed         | served           | 200         | 1234 | 1     |
      | being rerouted      | its first is removed    | taken served     | 200         | 1234 | 1     |
      | being rerouted      | its first restarts      | taken served     | 200         | 1234 | 1     |
      | being rerouted      | its first is forgotten  | taken served     | 200         | 1234 | 1     |
      | being rerouted      | its first is removed    | lost served      | 200         | 1234 | 2     |
      | being rerouted      | all are removed         | taken served     | 200         | 1234 | 1     |
      | whose caller stops  | its first is removed    | reads-on served  | 200         | 1234 | 1     |
      | whose caller stops  | all are removed         | reads-on served  | 200         | 1234 | 1     |
      | that books          | its first is removed    | served           | 200         | 1    | 1     |
      | that books          | its first restarts      | served           | 200         | 1    | 1     |
      | that books          | all are removed         | served           | 200         | 1    | 1     |
      | that books          | its first is forgotten  | lost             | 502 unknown |      | 1     |
      | that reads          | its first is removed    | lost served      | 200         | 1    | 2     |
      | that reads          | others restart          | lost served      | 200         | 1    | 2     |
      | that reads          | all are removed         | served           | 200         | 1    | 1     |
      | that reads          | all are removed         | lost             | 502 unknown |      | 1     |

    Examples: the server's entry was removed 30 s ago
      | state               | change                  | events           | outcome     | text | sends |
      | in mid-stream       | its first is forgotten  | served           | 200         | 1234 | 1     |
      | in mid-stream       | its first is forgotten  | lost served      | 200         | 1234 | 2     |
