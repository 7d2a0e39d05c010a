import { Buffer } from 'node:buffer';
import { once } from 'node:events';
import { createServer } from 'node:http';
import { clearInterval, setInterval } from 'node:timers';

/** Interval at which a server writes its entry, in milliseconds. */
const HEARTBEAT_MS = 1200;

/** A server that registers itself, takes orders, gives reports and answers requests by `options.handle`. */
export class Server {
  constructor(owner, options) {
    this.owner = owner;
    this.options = { accelerator: '', state: 'ready', slots: 134, ...options };
    this.id = this.options.id;
    this.born = Date.now();
    this.ordersAccepted = 0;
    this.span = this.options.span;
    if (this.span !== undefined) this.ordersAccepted = 1;
    this.sockets = new Set();
    this.beats = 0;
    this.state = this.options.state;
  }

  async listen(port = 0) {
    this.server = createServer((request, response) => this.receive(request, response));
    this.server.keepAliveTimeout = 30_000;
    this.server.on('connection', (socket) => {
      this.sockets.add(socket);
      socket.on('error', () => {});
      socket.once('close', () => this.sockets.delete(socket));
    });
    this.server.listen(port, '127.0.0.1');
    await once(this.server, 'listening');
    this.port = this.server.address().port;
    this.address = `127.0.0.1:${this.port}`;
    this.isUp = true;
    this.announce(this.state);
    this.heartbeat = setInterval(() => this.announce(this.state), HEARTBEAT_MS);
  }

  announce(state) {
    this.state = state;
    this.beats += 1;
    const { service, zone, accelerator, slots } = this.options;
    this.owner.store.put('servers', this.id, {
      service,
      address: this.address,
      zone,
      version: 'v1',
      slots,
      state,
      seq_no: this.beats,
      cold_left_ms: 0,
      born: this.born,
      ...(accelerator !== '' && { route_kind: accelerator }),
      ...(this.span !== undefined && { layer_count: { ...this.span, version: 1 } }),
    });
  }

  removeEntry() {
    clearInterval(this.heartbeat);
    this.owner.store.remove('servers', this.id);
  }

  async receive(request, response) {
    const parts = [];
    for await (const part of request) parts.push(part);
    const body = Buffer.concat(parts);
    const expected = request.headers['x-expect-instance'];
    if (expected !== undefined && expected !== this.id) {
      response.writeHead(421, { 'x-attempt-id': request.headers['x-attempt-id'] ?? '' }).end();
      return;
    }
    if (request.url === '/-/report') this.report(response);
    else if (request.url === '/-/order') this.order(JSON.parse(body.toString()), response);
    else this.options.handle(this, request, response, body);
  }

  report(response) {
    response.setHeader('content-type', 'application/json');
    response.end(
      JSON.stringify({
        seq_no: this.ordersAccepted,
        busy: false,
        phase: 'colocated',
        queued: 0,
        active: 0,
        pace: 1,
        born: this.born,
        ...(this.span !== undefined && { layer_count: { ...this.span, version: 1 } }),
      }),
    );
  }

  order(order, response) {
    this.options.onOrder?.(this, order);
    if (order.operation !== 'place') {
      response.writeHead(404, { 'content-type': 'application/json' }).end('{}');
      return;
    }
    if (order.precondition !== undefined && order.precondition !== this.ordersAccepted) {
      response.writeHead(409, { 'content-type': 'application/json' }).end('{}');
      return;
    }
    if (this.span?.source === order.source && this.span?.to === order.to) {
      response.writeHead(200, { 'content-type': 'application/json' }).end('{}');
      return;
    }
    this.ordersAccepted += 1;
    this.span = { source: order.source, to: order.to };
    response.writeHead(202, { 'content-type': 'application/json' }).end('{}');
    this.announce(this.state);
  }

  /** Starts anew under the same id and address, without layers. */
  async restart() {
    this.born = Date.now();
    this.span = undefined;
    this.ordersAccepted = 0;
    await this.listen(this.port);
  }

  /** Ends the process that the stand-in plays: every connection is reset, and none is accepted. */
  crash() {
    this.isUp = false;
    clearInterval(this.heartbeat);
    this.server.close();
    for (const socket of this.sockets) {
      if (socket.writableEnded) socket.destroy();
      else socket.resetAndDestroy();
    }
  }

  close() {
    clearInterval(this.heartbeat);
    if (this.isUp) this.crash();
  }
}
