Feature: Lookup of routes, updates of the deployment, and the state of servers
  Scenario Outline: <host> <path> takes the route "<route>"
    Given routes "host/a/ host/a/b/ other/"
    Then a request for "<host>" "<path>" takes route "<route>"

    Examples: the longest prefix that begins the path
      | host  | path   | route     |
      | host  | /a/x   | host/a/   |
      | host  | /a/b/x | host/a/b/ |
      | host  | /ab    | none      |
      | other | /x     | other/    |
      | none  | /a/x   | none      |

  Scenario Outline: <case>
    Given routes of the engine with ranks "<routes>" and accounts with ranks "<accounts>"
    Then requests compete for the engine: "<competes>"

    Examples: "-" is an account without a rank of its own; "none" is a deployment without accounts
      | case                                             | routes | accounts | competes |
      | routes of one rank do not compete                | 1 1    | none     | no       |
      | routes of different ranks compete                | 0 2    | none     | yes      |
      | accounts without a rank take that of the route   | 0 2    | - -      | yes      |
      | routes decide among accounts of one rank         | 0 2    | 1 1      | yes      |
      | accounts of one rank, and routes of one rank     | 1 1    | 0 0      | no       |
      | an account that is more urgent than routes       | 1 1    | 0 -      | yes      |

  Scenario Outline: <case>
    When deployments of tickets "<arrivals>" arrive
    Then the deployment of ticket <current> is in effect

    Examples:
      | case                                     | arrivals | current |
      | a newer deployment replaces an older one | 3 7      | 7       |
      | a stale read changes nothing             | 7 3      | 7       |
      | a repeated read changes nothing          | 7 7      | 7       |

  # Guards against route searches that collect the servers of a service anew for each stream in turn, after a
  # configuration that did not change the service.
  Scenario Outline: After a configuration with <change>, requests from before and after it share what is known of the servers: <shared>
    Given servers of an engine, as the first configuration describes it
    When a newer configuration describes the engine with "<change>"
    Then requests accepted before and after it search the same fleet: "<shared>"

    Examples:
      | change                   | shared |
      | nothing new              | yes    |
      | another step time        | no     |
      | another accelerator size | no     |

  Scenario Outline: <case>
    Given a server that is ready
    When its state changes by "<changes>"
    Then after <ms> ms it gets new work: "<usable>"

    Examples: "outage" is a failed read of the store; numbers are pauses in milliseconds
      | case                                                                      | changes                                         | ms   | usable |
      | a leaving server gets no new work                                         | leaving                                         | 0    | no     |
      | a removed server gets no new work                                         | removed                                         | 0    | no     |
      | an entry that expired during a store outage is kept                       | outage removed                                  | 1000 | yes    |
      | an entry still missing two seconds after the outage is treated as removed | outage removed                                  | 2500 | no     |
      | an entry that reappears is used                                           | outage removed ready                            | 2500 | yes    |
      | a stale entry does not undo leaving                                       | leaving stale                                   | 0    | no     |
      | a copy of the store does not undo leaving                                 | leaving copy                                    | 0    | no     |
      | a copy of the store does not undo a removal                               | removed copy                                    | 0    | no     |
      | an entry written after the copy undoes a removal                          | removed copy written-anew                       | 0    | yes    |
      | a copy from before a restart does not undo it                             | leaving restarted copy                          | 0    | yes    |
      | a peer's word that the server leaves counts at the copy's revision        | copy leaving-in-copy                            | 0    | no     |
      | what was known before the copy is older than the copy                     | copy leaving                                    | 0    | yes    |
      | an entry that the copy lacks is kept until servers have written again     | outage unknown-in-copy                          | 1000 | yes    |
      | a restarted server is used                                                | leaving restarted                               | 0    | yes    |
      | a server whose answer says that it is leaving gets no new work            | said-leaving                                    | 0    | no     |
      | its entry does not undo what it said                                      | said-leaving ready                              | 0    | no     |
      | an entry that expired and reappears does not undo what it said            | said-leaving removed ready                      | 0    | no     |
      | an entry of the store after its return does not undo what it said         | said-leaving copy written-anew                  | 0    | no     |
      | a new process of the server does                                          | said-leaving restarted                          | 0    | yes    |
      | an answer of an earlier process says nothing of the new one               | restarted said-leaving                          | 0    | yes    |
      | a peer passes on what a server said, at an older revision too             | ready told-leaving                              | 0    | no     |
      | what a peer was told outlasts the next entry                              | told-leaving ready                              | 0    | no     |
      | a peer's word about an earlier process says nothing of the new one        | restarted told-leaving                          | 0    | yes    |
      | a server that said so is not forgotten while its entry stays              | said-leaving 31000 sweep ready                  | 0    | no     |
      | a server whose address was reused has ended                               | reused                                          | 0    | no     |
      | an older entry at its address changes nothing                             | reused-before                                   | 0    | yes    |
      | a suspicion expires                                                       | suspect                                         | 800  | yes    |
      | a suspect server gets no new work                                         | suspect                                         | 100  | no     |
      | a second failure in a row lengthens the suspicion                         | suspect 800 suspect                             | 1000 | no     |
      | a server that rejected a request is paused                                | rejected                                        | 100  | no     |
      | the pause after a rejection is short                                      | rejected                                        | 200  | yes    |
      | a server that rejects all requests is passed over                         | rejected 200 rejected 400 rejected 700 rejected | 700  | no     |
      | simultaneous rejections count as one                                      | rejected rejected rejected                      | 200  | yes    |
      | accepted work ends a series of rejections                                 | rejected 200 rejected 400 accepted rejected     | 200  | yes    |
      | a sign of life between failures ends the series                           | suspect 800 alive suspect                       | 800  | yes    |
