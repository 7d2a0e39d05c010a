Feature: Checking a ticket reports all of its faults at once
  Scenario Outline: <case>
    When the ticket "<ticket>" is checked
    Then the only faults are at "<paths>", on lines "<lines>"

    Examples: Each ; stands for a line break
      | case                      | ticket                                                                                                    | paths                           | lines |
      | no faults                 | author: a;reason: r;changes:;- kind: Pipeline;  name: p;  base: 0;  state: {layers: 4, layerMs: {x: 1}}    |                                 |       |
      | an empty document         |                                                                                                           | (document)                      | 1     |
      | two faults at once        | author: a;reason: '';changes:;- kind: Pipeline;  name: P!;  base: 0;  remove: true                         | reason changes.0.name           | 2 5   |
      | neither state nor remove  | author: a;reason: r;changes:;- kind: Pipeline;  name: p;  base: 0                                         | changes.0                       | 4     |
      | an unknown field          | author: a;reason: r;changes:;- kind: Pipeline;  name: p;  base: 0;  state: {layers: 4, layerMs: {}, x: 1}  | changes.0.state                 | 7     |
      | a host name as address    | author: a;reason: r;changes:;- kind: BackendServer;  name: s;  base: 0;  state: {address: 'h:1', failureDomain: d} | changes.0.state.address | 7     |
      | a range past the layers   | author: a;reason: r;changes:;- {kind: Pipeline, name: p, base: 0, state: {layers: 4, layerMs: {none: 1}}};- {kind: BackendServer, name: s, base: 0, state: {address: '10.0.0.1:1', failureDomain: d, layerRanges: [{pipeline: p, from: 0, to: 5}]}} | changes.1.state.layerRanges.0 | 5 |
      | an object listed twice    | author: a;reason: r;changes:;- {kind: Pipeline, name: p, base: 0, remove: true};- {kind: Pipeline, name: p, base: 0, remove: true} | changes.1 | 5 |
      | not YAML                  | author: [                                                                                                 | (document)                      | 1     |
