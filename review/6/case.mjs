import { Buffer } from 'node:buffer';
import { performance } from 'node:perf_hooks';
import { clearInterval, setImmediate, setInterval, setTimeout } from 'node:timers';
import { configuration, LAYERS, route } from '../common-2/configuration.mjs';
import { hasTrouble, pause, play, send } from '../common-2/harness.mjs';

/** Time-out of the route of the bookings, in milliseconds. */
const TIMEOUT_MS = 1000;

/** Time after the time-out by which an answer is due, in milliseconds. */
const SLACK_MS = 500;

/** Streams that the faulty server answers with an event that does not end. */
const SPOILT_ANSWERS = 1;

const CHUNKS = Buffer.from('1\r\nx\r\n'.repeat(2000));

/** Sends an event whose text does not end, each character as a chunk of its own, until the caller closes. */
function sendEndlessEvent(owner, id, socket) {
  socket.write(
    `HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nx-attempt-id: ${id}\r\nx-server-seal: seal\r\n` +
      'transfer-encoding: chunked\r\n\r\nc\r\nid: 1\ndata: \r\n',
  );
  let sent = 0;
  const write = () => {
    if (socket.destroyed) return;
    sent += 2000;
    if (socket.write(CHUNKS)) setImmediate(write);
    else socket.once('drain', write);
  };
  socket.once('close', () => owner.note(`server closed by its caller after ${sent} characters`));
  write();
}

function streamEvents(request, response) {
  response.writeHead(200, {
    'content-type': 'text/event-stream',
    'x-attempt-id': request.headers['x-attempt-id'],
    'x-server-seal': 'seal',
  });
  let number = Number(request.headers['last-event-id'] ?? 0);
  const timer = setInterval(() => {
    number += 1;
    response.write(`id: ${number}\ndata: event ${number}\n\n`);
    if (number < 20) return;
    clearInterval(timer);
    response.end();
  }, 20);
  response.once('close', () => clearInterval(timer));
}

play(import.meta.url, async (played) => {
  let spoiltLeft = 0;
  const engine = (server, request, response) => {
    const id = request.headers['x-attempt-id'];
    if (server.id === 'i-engine-1' && spoiltLeft > 0) {
      spoiltLeft -= 1;
      played.note(`server ${server.id} spoils its answer to ${id}`);
      sendEndlessEvent(played, id, request.socket);
    } else streamEvents(request, response);
  };
  const plain = (_server, request, response) => {
    setTimeout(() => {
      response
        .writeHead(200, {
          'x-attempt-id': request.headers['x-attempt-id'],
          'x-server-seal': 'seal',
        })
        .end('booked');
    }, 20);
  };
  for (const number of [1, 2, 3]) {
    await played.addServer({
      id: `i-engine-${number}`,
      service: 'engine',
      zone: 'a',
      accelerator: 'whole',
      span: { source: 0, to: LAYERS },
      handle: engine,
    });
    await played.addServer({
      id: `i-plain-${number}`,
      service: 'plain',
      zone: 'a',
      slots: 6,
      handle: plain,
    });
  }
  played.configure(
    configuration(1, [
      route('stream', '/stream/', 'streaming', 'engine', {
        resumable: true,
        timeout_ms: 20_000,
        target_itl_ms: 200,
      }),
      route('book', '/book/', 'non_idempotent', 'plain', { attempts: 1, timeout_ms: TIMEOUT_MS }),
    ]),
  );
  const router = await played.startRouter('edge-a-1', 'a');
  await played.awaitReady(router);
  await pause(4000);
  const bookings = [];
  const streams = [];
  let longestLag = 0;
  let last = performance.now();
  const lag = setInterval(() => {
    longestLag = Math.max(longestLag, performance.now() - last - 50);
    last = performance.now();
  }, 50);
  const startedAt = performance.now();
  for (let tick = 0; tick < 150; tick += 1) {
    if (tick === 30 && hasTrouble) spoiltLeft = SPOILT_ANSWERS;
    bookings.push(
      send(router.callers, {
        id: `b${tick}`,
        target: `/book/${tick}`,
        deadlineMs: 4000,
        waitMs: 4000,
      }),
    );
    if (tick % 2 === 0)
      streams.push(
        send(router.callers, {
          id: `s${tick}`,
          target: `/stream/${tick}`,
          deadlineMs: 20_000,
          headers: {
            'x-token-count': '800,40',
            'x-prompt-prefix': `5c1e07a2:400,${tick.toString(16)}:400`,
          },
        }),
      );
    await pause(Math.max(0, startedAt + (tick + 1) * 100 - performance.now()));
  }
  const seen = await Promise.all(bookings);
  const ended = await Promise.all(streams);
  clearInterval(lag);
  for (const { id, status, ms, error } of [...seen, ...ended])
    played.note(`${id}: ${status} after ${ms} ms${error === undefined ? '' : ` (${error})`}`);
  const atTimeout = seen.filter(({ ms }) => ms > TIMEOUT_MS);
  const without = atTimeout.filter(({ ms }) => ms > TIMEOUT_MS + SLACK_MS);
  played.note(`longest lag of this script: ${Math.round(longestLag)} ms`);
  played.note(
    `streams complete: ${ended.filter(({ isComplete }) => isComplete).length} of ${ended.length}`,
  );
  played.note(
    `bookings: ${seen.length}; without an answer at the time-out: ${atTimeout.length}; ${SLACK_MS} ms later: ${without.length}`,
  );
  return without.length > atTimeout.length / 2
    ? `CONFIG: ${without.length} of ${atTimeout.length} bookings without an answer at their time-out had none ${SLACK_MS} ms later`
    : undefined;
});
