Feature: Marks of servers that come from peers

  # Guards against a server that is out of use although it works, since a peer does not know yet that it works again.
  Scenario Outline: A peer set the mark "<mark>" <order> this instance saw the server work
    Given a server that this instance has marked "<mark>", and whose mark a peer has heard of
    When the mark is cleared after 1000 ms, and the peer's mark set <set> ms after the first one arrives at 1500 ms
    Then the server is then marked "<marked>"

    Examples:
      | mark    | set  | order          | marked  |
      | loading | 0    | before         | none    |
      | suspect | 0    | before         | none    |
      | suspect | 1200 | after          | suspect |
      | loading | 1200 | after          | loading |
      | leaving | 0    | before         | leaving |
