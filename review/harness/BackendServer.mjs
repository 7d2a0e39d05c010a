/**
 * A backend server as PROTOCOL.md describes it: it runs requests that name it, signs its answers, reports and
 * takes orders. Answers of a faulty server are written by `spoil`.
 */
import { Buffer } from 'node:buffer';
import { createServer } from 'node:http';
import { setTimeout } from 'node:timers';

/** Returns one event of a stream. */
export function eventText(number) {
  return `id: ${number}\ndata: event ${number}\n\n`;
}

export class BackendServer {
  /** Requests that the server began to run, in order: `id`, `at`, `kept`. */
  runs = [];

  /** Time that a call takes, in milliseconds. */
  workMs = 30;

  /** Time until the first event of a stream, and between its events, in milliseconds. */
  firstEventMs = 100;

  eventMs = 40;

  /** Events of a stream. */
  events = 84;

  /**
   * Writes the answer of a faulty server; returns false to answer soundly.
   * `run` has `id`, `number` of the run, `isStream`, `request` and `response`.
   */
  spoil = () => false;

  /** Whether the server says in its answers that it is leaving. */
  saysLeaving = false;

  /** Whether the server turns requests away: it has ended for the test. */
  state = 'ready';

  #sockets = new Set();

  #span;

  #ordersAccepted = 0;

  #born = Date.now();

  constructor({ id, service, zone, kind, store, now, record }) {
    Object.assign(this, { id, service, zone, kind, store, now, record });
    this.server = createServer((request, response) => this.#receive(request, response));
    this.server.on('connection', (socket) => {
      this.#sockets.add(socket);
      socket.on('error', () => {});
      socket.once('close', () => this.#sockets.delete(socket));
    });
  }

  async listen(host) {
    await new Promise((resolve) => {
      this.server.listen(0, host, resolve);
    });
    this.address = `${host}:${this.server.address().port}`;
    this.announce('ready');
  }

  get holdsLayers() {
    return this.#span !== undefined;
  }

  get connections() {
    return this.#sockets.size;
  }

  /** Writes the server's entry. */
  announce(state) {
    this.state = state;
    this.store.put('servers', this.id, {
      service: this.service,
      address: this.address,
      zone: this.zone,
      version: 'v1',
      slots: 134,
      state,
      seq_no: 1,
      born: this.#born,
      route_kind: this.kind,
      ...(this.#span !== undefined && { layer_count: { ...this.#span, version: 1 } }),
    });
  }

  /** Ends the server: its connections are reset, and its address accepts no more. */
  stop() {
    this.server.close();
    for (const socket of this.#sockets) {
      if (socket.writableEnded) socket.destroy();
      else socket.resetAndDestroy();
    }
  }

  async #receive(request, response) {
    const chunks = [];
    try {
      for await (const chunk of request) chunks.push(chunk);
    } catch {
      return;
    }
    const body = Buffer.concat(chunks).toString();
    if (request.url === '/-/report') this.#report(response);
    else if (request.url === '/-/order') this.#order(response, JSON.parse(body));
    else this.#run(request, response);
  }

  #report(response) {
    response.end(
      JSON.stringify({
        phase: 'colocated',
        seq_no: this.#ordersAccepted,
        busy: false,
        queued: 0,
        active: 0,
        ...(this.#span !== undefined && { layer_count: { ...this.#span, version: 1 } }),
      }),
    );
  }

  #order(response, { operation, source, to, precondition }) {
    if (operation !== 'place') {
      response.writeHead(404).end('{}');
      return;
    }
    if (precondition !== undefined && precondition !== this.#ordersAccepted) {
      response.writeHead(409).end('{}');
      return;
    }
    this.#ordersAccepted += 1;
    this.#span = { source, to };
    response.writeHead(202).end('{}');
    this.announce(this.state);
  }

  #run(request, response) {
    const { headers } = request;
    const id = String(headers['x-attempt-id']);
    response.setHeader('x-attempt-id', id);
    if (this.saysLeaving) response.setHeader('server-leaving', '1');
    if (headers['x-expect-instance'] !== this.id) {
      response.writeHead(421, { 'content-length': 0 }).end();
      return;
    }
    const isStream = headers['x-hop-count'] !== undefined;
    const run = { id, at: this.now(), number: this.runs.length + 1, isStream, request, response };
    this.runs.push(run);
    this.record(`run ${id} at ${this.id}`);
    response.once('close', () => {
      run.endedAt = this.now();
      run.isWhole = response.writableFinished;
    });
    if (this.spoil(run) !== false) return;
    response.setHeader('x-server-seal', `seal.${this.id}.${id}`);
    if (isStream) this.#stream(request, response);
    else setTimeout(() => response.end(`answer of ${this.id} to ${id}`), this.workMs);
  }

  #stream(request, response) {
    const resumeAfter = Number(request.headers['last-event-id'] ?? 0);
    response.setHeader('content-type', 'text/event-stream');
    let number = resumeAfter;
    const send = () => {
      if (response.destroyed) return;
      number += 1;
      response.write(eventText(number));
      if (number < this.events) setTimeout(send, this.eventMs);
      else response.end();
    };
    setTimeout(send, this.firstEventMs);
  }
}
