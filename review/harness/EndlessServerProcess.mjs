/** Starts `EndlessServer.mjs` and keeps its entry in the store. */
import { fork } from 'node:child_process';
import path from 'node:path';
import { fileURLToPath } from 'node:url';

const PROGRAM = path.join(path.dirname(fileURLToPath(import.meta.url)), 'EndlessServer.mjs');

export class EndlessServerProcess {
  holdsLayers = false;

  /** Ids of the requests that it ran. */
  runs = [];

  /** Endless answers that have begun. */
  endless = 0;

  #born = Date.now();

  #child;

  constructor({ id, zone, host, store, record }) {
    this.#child = fork(PROGRAM, [host, id]);
    let address;
    let span;
    this.#child.on('message', (message) => {
      if (message.run !== undefined) {
        this.runs.push(message.run);
        record(`run ${message.run} at ${id}`);
      }
      if (message.megabytes !== undefined)
        record(
          `closed by the caller: ${message.endless} after ${Math.round(message.megabytes)} MB`,
        );
      else if (message.endless !== undefined) {
        this.endless += 1;
        record(`endless ${message.endless} at ${id}`);
      }
      if (message.port !== undefined) address = `${host}:${message.port}`;
      if (message.span !== undefined) {
        span = message.span;
        this.holdsLayers = true;
      }
      if (message.port === undefined && message.span === undefined) return;
      store.put('servers', id, {
        service: 'engine',
        address,
        zone,
        version: 'v1',
        slots: 134,
        state: 'ready',
        seq_no: 1,
        born: this.#born,
        route_kind: 'whole',
        ...(span !== undefined && { layer_count: { ...span, version: 1 } }),
      });
    });
  }

  setFaulty(isFaulty) {
    this.#child.send({ isFaulty });
  }

  dispose() {
    this.#child.kill('SIGKILL');
  }
}
