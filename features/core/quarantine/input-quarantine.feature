Feature: Whole requests are held back by their fingerprints
  # Guards against a request that ends one server after the other, and against blaming what waited there.
  Scenario Outline: <case>
    When servers end under the request "bad", every <gap> ms, and <others> other requests wait at each of them: "<events>"
    Then the request "bad" is held: "<held>", and no other request is

    Examples: "crash": a server ends; "answer": a server answers "bad"
      | case                                                  | gap | others | events                           | held |
      | two crashes are not enough                            | 60  | 2      | crash crash                      | no   |
      | each resend after a crash counts                      | 60  | 2      | crash crash crash                | yes  |
      | servers that end at the same moment count once        | 1   | 2      | crash crash crash                | no   |
      | an answer clears what was before it                   | 60  | 2      | crash crash answer crash         | no   |
      | crashes after an answer count                         | 60  | 2      | crash answer crash crash crash   | yes  |
      | many requests wait at the servers that end            | 60  | 40     | crash crash crash crash crash    | yes  |
      | one peer reports each crash with its own requests     | 60  | 0      | peer peer peer                   | yes  |
