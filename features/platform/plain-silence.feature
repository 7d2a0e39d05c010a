# Guards against a plain request that is cut, refused or run twice because its server sends nothing for a while.
Feature: Plain servers that fall silent and go on, over sockets

  Background:
    Given a store, one plain server and a router instance that has answered

  Scenario Outline: A <method> to <path> on a <connection> connection, silence <when> for <ms> ms
    When the server falls silent for <ms> ms "<when>" of a <method> to "<path>" on a <connection> connection with a deadline of <deadline> ms
    Then its outcome is "<outcome>", and it comes between <from> and <to> ms after the request
    And the server ran it once
    And a further booking is answered within 500 ms of the end of the silence

    Examples: the deadline is longer than the pause: the answer arrives whole
      | method | path    | connection | when            | ms   | deadline | outcome     | from | to   |
      | POST   | /book/  | new        | before the head | 1000 | 2000     | 200         | 900  | 1600 |
      | POST   | /book/  | new        | within the body | 1000 | 2000     | 200         | 900  | 1600 |
      | POST   | /read/  | new        | before the head | 1000 | 2000     | 200         | 900  | 1600 |
      | POST   | /read/  | new        | within the body | 1000 | 2000     | 200         | 900  | 1600 |
      | GET    | /read/  | kept       | before the head | 1000 | 2000     | 200         | 900  | 1600 |
      | GET    | /read/  | kept       | within the body | 1000 | 2000     | 200         | 900  | 1600 |
      | POST   | /book/  | new        | before the head | 2500 | 4000     | 200         | 2400 | 3100 |
      | GET    | /read/  | kept       | before the head | 2500 | 4000     | 200         | 2400 | 3100 |

    Examples: it is shorter: the caller learns at the deadline that the request may have run
      | method | path    | connection | when            | ms   | deadline | outcome     | from | to   |
      | POST   | /book/  | new        | before the head | 1500 | 700      | 504 unknown | 650  | 1200 |
      | POST   | /book/  | new        | within the body | 1500 | 700      | 504 unknown | 650  | 1200 |
      | POST   | /read/  | new        | before the head | 1500 | 700      | 504 unknown | 650  | 1200 |
      | GET    | /read/  | kept       | within the body | 1500 | 700      | 504 unknown | 650  | 1200 |
