/** A client: keeps its connection, sends one request at a time, and leaves at its deadline. */
import { Buffer } from 'node:buffer';
import { Agent, request as httpRequest } from 'node:http';
import { clearTimeout, setTimeout } from 'node:timers';

/** Characters of an answer's body that are kept, and a chunk more. */
const MAX_KEPT_CHARACTERS = 65_536;

export class Client {
  #agent = new Agent({ keepAlive: true, maxSockets: 1 });

  /** Bandwidth of the client's link, in bytes per millisecond. */
  linkBytesPerMs = Infinity;

  /** @param target - address of the router: `host`, `port` */
  constructor(name, target, { now, record }) {
    Object.assign(this, { name, target, now, record });
  }

  /** Opens the connection by an answered request to a path without a route, and keeps it. */
  async connect() {
    return this.send({ id: `${this.name}-connect`, path: '/none/', deadlineMs: 3000 });
  }

  /**
   * Sends a request.
   * @returns `status` 0 if the connection ended without an answer, `end` with what became of it, and `kept`:
   *   whether the connection had been used before
   */
  send({ id, path, method = 'POST', body = 'body', deadlineMs, headers = {} }) {
    const result = {
      id,
      path,
      status: 0,
      headers: {},
      body: '',
      bytes: 0,
      kept: false,
      sentAt: this.now(),
    };
    return new Promise((resolve) => {
      let timer;
      const finish = (end) => {
        if (result.end !== undefined) return;
        clearTimeout(timer);
        result.end = end;
        result.endedAt = this.now();
        this.record(
          `answered ${id} status=${result.status} end=${end} kept=${result.kept} ms=${Math.round(result.endedAt - result.sentAt)}`,
        );
        resolve(result);
      };
      const outgoing = httpRequest({
        ...this.target,
        method,
        path,
        agent: this.#agent,
        headers: {
          host: 'host',
          authorization: 'Token key-1',
          'x-attempt-id': id,
          'x-deadline-ms': String(deadlineMs),
          ...(method !== 'GET' && { 'content-length': Buffer.byteLength(body) }),
          ...headers,
        },
      });
      this.record(`sent ${id} ${method} ${path}`);
      outgoing.on('socket', () => {
        result.kept = outgoing.reusedSocket;
      });
      outgoing.on('response', (answer) => {
        result.status = answer.statusCode;
        result.headers = answer.headers;
        answer.on('data', (chunk) => {
          result.bytes += chunk.length;
          if (result.body.length < MAX_KEPT_CHARACTERS) result.body += chunk.toString();
          if (this.linkBytesPerMs === Infinity) return;
          answer.pause();
          setTimeout(() => answer.resume(), chunk.length / this.linkBytesPerMs);
        });
        answer.on('end', () => finish(answer.complete ? 'complete' : 'cut'));
        answer.on('error', () => finish('cut'));
      });
      outgoing.on('error', () => finish(result.status === 0 ? 'closed' : 'cut'));
      timer = setTimeout(() => {
        finish('deadline');
        outgoing.destroy();
      }, deadlineMs);
      outgoing.end(method === 'GET' ? undefined : body);
    });
  }

  dispose() {
    this.#agent.destroy();
  }
}
