Feature: Parts of requests under which servers crash are held, and no others
  Scenario Outline: <case>
    When the events "<events>" happen
    Then at <at> ms the parts held are "<held>"

    # "T crash S P Q": at T ms server S ends, with P and Q not answered; "T answer P": a server answers a request with P
    Examples:
      | case                                               | at    | held | events |
      | three crashes under an unknown part                | 1000  | bad  | 0 crash s1 bad; 300 crash s2 bad; 600 crash s3 bad |
      | two crashes are not enough                         | 1000  |      | 0 crash s1 bad; 300 crash s2 bad |
      | one crash that two instances report                | 1000  |      | 0 crash s1 bad; 300 crash s1 bad; 600 crash s1 bad |
      | a process that started again crashes again         | 1000  | bad  | 0 crash s1 bad; 300 crash s1:2 bad; 600 crash s1:3 bad |
      | servers that end at one moment                     | 1000  |      | 0 crash s1 bad; 60 crash s2 bad; 120 crash s3 bad; 140 crash s4 bad |
      | a shared part that is answered elsewhere           | 1000  | bad  | 0 answer shared; 10 crash s1 shared bad; 300 crash s2 shared bad; 600 crash s3 shared bad |
      | a shared part first answered after the crashes     | 1000  | bad  | 10 crash s1 shared bad; 300 crash s2 shared bad; 600 crash s3 shared bad; 700 answer shared |
      | requests that merely waited at the servers         | 1000  | bad  | 0 crash s1 bad; 0 crash s1 a; 300 crash s2 bad; 300 crash s2 a; 600 crash s3 bad; 600 crash s3 b |
      | an answer after the crashes                        | 1000  |      | 0 crash s1 sound; 300 crash s2 sound; 600 crash s3 sound; 700 answer sound |
      | four crashes under a part that was answered before | 2000  |      | 0 answer known; 300 crash s1 known; 600 crash s2 known; 900 crash s3 known; 1200 crash s4 known |
      | five crashes under a part that was answered before | 2000  | known | 0 answer known; 300 crash s1 known; 600 crash s2 known; 900 crash s3 known; 1200 crash s4 known; 1500 crash s5 known |
      | the part with the oldest answer is blamed          | 3000  | old  | 0 answer old; 100 answer new; 300 crash s1 old new; 600 crash s2 old new; 900 crash s3 old new; 1200 crash s4 old new; 1500 crash s5 old new |
      | two parts at once                                  | 1500  | p q  | 0 crash s1 p; 200 crash s2 q; 400 crash s3 p; 600 crash s4 q; 800 crash s5 p; 1000 crash s6 q |
      | crashes far apart do not add up                    | 130000 |     | 0 crash s1 rare; 50000 crash s2 rare; 115000 crash s3 rare |
      | a part that never comes again is forgotten         | 80000 |      | 0 crash s1 bad; 300 crash s2 bad; 600 crash s3 bad |

  Scenario: After the hold time one request at a time may try the part again, and a crash holds it for longer
    Given 3 instances, of which this is number 1
    When the events "0 crash s1 bad; 300 crash s2 bad; 600 crash s3 bad" happen
    Then a request with "bad" is refused from 700 to 12500 ms
    And one request with "bad" is admitted from 12600 to 13500 ms
    When the events "13600 crash s4 bad" happen
    Then a request with "bad" is refused from 13700 to 35500 ms
    And one request with "bad" is admitted from 35600 to 36500 ms
    When the events "36600 answer bad" happen
    Then at 36700 ms the parts held are ""

  Scenario: Evidence stays bounded when a whole fleet ends, and what holds a part is kept
    When the events "0 crash s1 bad; 300 crash s2 bad; 600 crash s3 bad" happen
    And 500 servers end at 5000 ms, each under requests with parts of their own
    Then at 5100 ms the parts held are "bad"
    And the evidence for a peer has at most 32 crashes with 8 parts each

  Scenario: Evidence leads to the same result in whatever order it is merged
    When 200 random sets of evidence are merged in two orders, some of them twice
    Then both hold the same parts

  Scenario: An answer that instances tell each other does not become more recent
    Given two instances that exchange evidence every 20 ms, which takes 10 ms
    When a part was answered at 0 ms and servers end under it from 1000 to 2500 ms
    Then after 4000 ms both hold the part
