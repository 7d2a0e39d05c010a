# Guards against crowds that take every connection of a listener, and against a bound that ends sound connections.
Feature: A listener keeps a bounded number of connections

  Scenario Outline: <load>
    Given a listener that keeps 4 connections
    When the connections do "<events>"
    Then "<ended>" end, and "<rejected>" are turned away

    Examples: NAME@PEER connects; "NAME:BYTES" moves bytes, "NAME:PHASE" begins a phase; "wait" lets 2 s pass, "moment" 0.2 s
      | load                                            | events                                                        | ended | rejected |
      | there is room                                   | a@p b@p c@p d@p                                               |       |          |
      | one that closes makes room                      | a@p b@p c@p d@p a:close e@q                                   |       |          |
      | the one that has not moved for longest ends     | a@p wait b@p wait c@p d@p e@p                                 | a     |          |
      | one that moves on stays                         | a@p b@p c@p d@p wait a:500 c:500 d:500 e@p                    | b     |          |
      | a byte now and then is no moving on             | a@p b@p c@p d@p wait a:500 b:500 c:500 d:1 moment d:1 e@p     | d     |          |
      | one that is awaited stays                       | a@p a:awaited b@p wait c@p d@p e@p                            | b     |          |
      | one that has stopped inside goes before idle    | a@p a:idle b@p wait c@p d@p e@p                               | b     |          |
      | an idle one goes if all others move on          | a@p a:idle b@p c@p d@p wait b:500 c:500 d:500 e@p             | a     |          |
      | a peer beyond its share goes first              | a@q wait b@p c@p d@p wait e@p                                 | b     |          |
      | one peer alone has no share                     | a@p a:awaited b@p b:awaited c@p c:awaited d@p d:awaited e@p   |       | e        |
      | a search that found nothing is not repeated yet | a@p b@p c@p d@p wait a:500 b:500 c:500 d:500 e@p f@p          |       | e f      |
      | a later search finds one that has stopped       | a@p b@p c@p d@p wait a:500 b:500 c:500 d:500 e@p wait f@p     | a     | e        |
      | all are new, so the newcomer is turned away     | a@p b@p c@p d@p moment e@q f@q                                |       | e f      |
