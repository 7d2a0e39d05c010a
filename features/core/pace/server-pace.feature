Feature: A server that starts or comes back gets as much work as its answers show that it can carry
  # Every load is played with and without the pace, on the same seeds. A server that starts takes four times as
  # long for a while, so that what it gets in excess is late.
  Scenario Outline: <load> among 12 servers, <instances> instances that know their own and the reported work
    When "<load>" is played for <instances> instances at 90 requests a second
    Then at most 75 in 100 of the answers that are late without a pace are late
    And at most 90 in 100 of the callers late or refused without a pace are so
    And at most 2 in 100 requests more than without a pace are refused
    And 10 s later the servers concerned give at least <used> in 100 of their answers without a pace

    # One that flaps or stays slow is not to be used as much.
    Examples:
      | load                                              | instances | used |
      | four servers join in one domain                   | 3         | 80   |
      | four servers join in one domain                   | 74        | 80   |
      | four come back at once after a crash              | 3         | 80   |
      | four come back at once after a crash              | 74        | 80   |
      | a release that replaces every server in turn      | 3         | 80   |
      | a release that replaces every server in turn      | 74        | 80   |
      | one that flaps                                    | 3         | 0    |
      | one that flaps                                    | 74        | 0    |
      | one that is slow for good                         | 3         | 0    |
      | one that is slow for good                         | 74        | 0    |

  Scenario Outline: <case>
    Given requests have been served, and a server whose first window is 17
    When its events are "<events>"
    Then its window is "<window>"

    Examples:
      | case                                                       | events                       | window |
      | a new server begins with a quarter                         | start                        | 17     |
      | one known before the first request has no pace             | idle start                   | none   |
      | a hint that it is cold halves the first window             | cold                         | 8      |
      | a sound answer among 12 allows 24                          | start load12 sound           | 24     |
      | it proves nothing beyond what was in progress              | start load2 sound            | 17     |
      | the pace ends with the share of the others                 | peer start load20 sound      | none   |
      | not before twice the first window                          | peer start load12 sound      | 24     |
      | without others it ends with the capacity                   | start load40 sound           | none   |
      | not before                                                 | start load20 sound           | 40     |
      | a rejection halves the window                              | start reject                 | 8      |
      | rejections of one overload count once                      | start send send back back    | 8      |
      | a rejection beyond the window says nothing                 | start load20 reject          | 17     |
      | a rejection that names another server says nothing         | start reject-other           | 17     |
      | one slow answer may be late for other reasons              | start slow                   | 17     |
      | two in a row are the server's                              | start slow slow              | 8      |
      | one is enough if another server answered in time meanwhile | start send other late        | 8      |
      | it counts once for all that were sent before the reduction | start send send other late late | 8   |
      | a sound one in between                                     | start slow sound slow        | 17     |
      | over several servers a delay may be due to any             | start shared-slow shared-slow | 17    |
      | a sound answer over several servers speaks for each        | start load12 shared-sound    | 24     |
      | a window is never below one                                | start reject reject reject reject reject reject | 1 |
      | a new process begins anew                                  | start reject restart         | 17     |
      | the answer of the process before says nothing              | start load12 send restart answer | 17 |
      | a suspicion during the pace halves the window              | start suspect                | 8      |
      | a suspected server begins again                            | idle start busy suspect      | 17     |
      | it keeps the work that it has                              | idle start busy load30 suspect | 30   |
      | layers that it already had are no reason                   | idle start busy lost found   | none   |
      | a new one begins with the work that others have there      | load30 start                 | 30     |
      | a leaving server has no pace                               | start leave                  | none   |

  Scenario Outline: A peer <says>
    Given requests have been served, and a server whose first window is 17
    When its events are "<events>"
    And a peer <says>
    Then its window is "<window>"

    Examples:
      | says                                   | events      | window |
      | knows a larger window                  | start       | 30     |
      | knows a smaller window                 | start       | 17     |
      | knows a reduction                      | start       | 5      |
      | knows a larger window                  | idle start busy alive | none |
      | knows an earlier generation            | start reject | 8     |
      | knows another process                  | start       | 17     |
      | knows that the pace has ended          | start       | none   |
      | suspected the server, which answers here | idle start busy alive | none |

  Scenario: What is learned survives the instance that learned it
    Given requests have been served, and a server whose first window is 17
    When its events are "start load12 sound"
    Then an instance that starts learns the window of 24 from a peer, and the first may end

  Scenario Outline: <instances> instances share a window of <window>
    Then the seats of <instances> instances in a window of <window> add up to <sum> after <age> ms without requests

    Examples:
      | instances | window | age  | sum |
      | 74        | 8      | 0    | 8   |
      | 74        | 100    | 0    | 100 |
      | 3         | 8      | 0    | 8   |
      | 390       | 1      | 0    | 1   |
      | 74        | 8      | 750  | 16  |
      | 74        | 8      | 9000 | 64  |

  Scenario: A digest holds a bounded number of paced servers, and all of them within several digests
    Given 200 servers start while requests are served
    Then a digest holds 64 of them, and 4 digests all

  Scenario Outline: An engine's server beyond its pace is used only if there is no other
    Given two whole copies of an engine, one of them "<paced>" and nearer than the other
    Then a request is sent to the "<chosen>" copy
    And to the paced copy if the other has failed it

    Examples:
      | paced           | chosen |
      | within its pace | paced  |
      | beyond its pace | other  |
