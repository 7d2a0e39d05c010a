/**
 * An engine server in a process of its own. While it is faulty, one in `SPOILT_ONE_IN` of its streams has no end: event
 * follows event, at the bandwidth of a machine's link, until the caller closes. Messages to the parent keep its entry in
 * the store; messages of the parent say whether the server is faulty.
 *
 * Arguments: address, id.
 */
import { createServer } from 'node:http';
import { performance } from 'node:perf_hooks';
import process from 'node:process';
import { setTimeout } from 'node:timers';
import { eventText } from './BackendServer.mjs';
import { createSpoiler } from './Faults.mjs';

const [host, id] = process.argv.slice(2);

/** Bandwidth of the server's link, in bytes per millisecond: 1,000 Mbit/s. */
const LINK_BYTES_PER_MS = 125_000;

const FIRST_EVENT_MS = 300;
const EVENT_MS = 40;
const EVENTS = 20;

const FILLING = 'x'.repeat(60_000);

let ordersAccepted = 0;
let span;
let isFaulty = false;
const isSpoilt = createSpoiler(() => isFaulty);

function order(response, { source, to, precondition }) {
  if (precondition !== ordersAccepted) {
    response.writeHead(409).end('{}');
    return;
  }
  ordersAccepted += 1;
  span = { source, to };
  response.writeHead(202).end('{}');
  process.send({ span });
}

function sendWithoutEnd(response, requestId) {
  const startedAt = performance.now();
  let bytes = 0;
  let number = 0;
  const send = () => {
    if (response.destroyed) return;
    if (bytes > (performance.now() - startedAt) * LINK_BYTES_PER_MS) {
      setTimeout(send, 1);
      return;
    }
    number += 1;
    const text = `id: ${number}\ndata: ${FILLING}\n\n`;
    bytes += text.length;
    if (response.write(text)) setTimeout(send, 0);
    else response.once('drain', send);
  };
  send();
  response.once('close', () => process.send({ endless: requestId, megabytes: bytes / 1e6 }));
}

function stream(response, from) {
  let number = from;
  const send = () => {
    if (response.destroyed) return;
    number += 1;
    response.write(eventText(number));
    if (number < EVENTS) setTimeout(send, EVENT_MS);
    else response.end();
  };
  setTimeout(send, FIRST_EVENT_MS);
}

function run(request, response) {
  const requestId = String(request.headers['x-attempt-id']);
  response.setHeader('x-attempt-id', requestId);
  if (request.headers['x-expect-instance'] !== id) {
    response.writeHead(421, { 'content-length': 0 }).end();
    return;
  }
  process.send({ run: requestId });
  response.setHeader('x-server-seal', `seal.${id}.${requestId}`);
  response.setHeader('content-type', 'text/event-stream');
  if (isSpoilt()) {
    process.send({ endless: requestId });
    sendWithoutEnd(response, requestId);
  } else stream(response, Number(request.headers['last-event-id'] ?? 0));
}

const server = createServer(async (request, response) => {
  let body = '';
  try {
    for await (const chunk of request) body += chunk;
  } catch {
    return;
  }
  const layers = span && { layer_count: { ...span, version: 1 } };
  if (request.url === '/-/report')
    response.end(JSON.stringify({ seq_no: ordersAccepted, busy: false, ...layers }));
  else if (request.url === '/-/order') order(response, JSON.parse(body));
  else run(request, response);
});
server.listen(0, host, () => process.send({ port: server.address().port }));
process.on('message', (message) => {
  isFaulty = message.isFaulty;
});
process.once('disconnect', () => process.exit());
