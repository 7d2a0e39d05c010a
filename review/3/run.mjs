import path from 'node:path';
import { fileURLToPath } from 'node:url';
import { eventText } from '../harness/BackendServer.mjs';
import { chunkOf, createSpoiler, FAULTY_MS, FAULTY_SHARE, spoiltHead } from '../harness/Faults.mjs';
import { pause, playCase } from '../harness/Fleet.mjs';

const PLAY_MS = 11_000;

/** Time from the start of the traffic until servers are faulty, in milliseconds. */
const FAULTY_FROM_MS = 2000;

const CLIENTS = 20;
const EVENTS = 20;
const EVENT_MS = 20;

await playCase(path.dirname(fileURLToPath(import.meta.url)), async (fleet, hasTrouble) => {
  await fleet.start({ zones: ['a', 'b'], routers: 2, engines: 5, plains: 1 });
  const engines = fleet.serversOf('engine');
  const faulty = new Set(engines.slice(0, FAULTY_SHARE * engines.length));
  const faultyFrom = fleet.now() + FAULTY_FROM_MS;
  const isFaulty = () =>
    hasTrouble && fleet.now() >= faultyFrom && fleet.now() < faultyFrom + FAULTY_MS;
  for (const server of engines) {
    server.events = EVENTS;
    server.eventMs = EVENT_MS;
    if (!faulty.has(server)) continue;
    const isSpoilt = createSpoiler(isFaulty);
    server.spoil = ({ id, request }) => {
      if (!isSpoilt()) return false;
      const { socket } = request;
      const framing = 'transfer-encoding: chunked';
      const last = Number(request.headers['last-event-id'] ?? 0);
      fleet.record(`spoilt ${id} at ${server.id}`);
      socket.write(spoiltHead({ id, server, contentType: 'text/event-stream', framing }));
      const send = async () => {
        for (let event = last + 1; event <= EVENTS && !socket.destroyed; event += 1) {
          await pause(EVENT_MS);
          socket.write(chunkOf(eventText(event)));
        }
        if (!socket.destroyed) socket.end('0\r\n\r\n');
      };
      send();
      return true;
    };
  }

  const results = [];
  const endsAt = fleet.now() + PLAY_MS;
  const loop = async (router, number) => {
    const client = fleet.client(`stream-${number}-${router.name}`, router);
    for (let count = 1; fleet.now() < endsAt; count += 1) {
      const headers = {
        'x-model': 'model',
        'x-token-count': '100,40',
        'x-prompt-prefix': `a1:40,${number}${count}:60`,
      };
      const id = `${client.name}-${count}`;
      results.push(await client.send({ id, path: '/stream/1', deadlineMs: 20_000, headers }));
      await pause(100);
    }
  };
  const loops = [];
  for (const router of fleet.routers)
    for (let number = 0; number < CLIENTS; number += 1) loops.push(loop(router, number));
  await Promise.all(loops);

  let unsigned = 0;
  let incomplete = 0;
  for (const { id, status, end, headers, body } of results) {
    if (status !== 200 || end !== 'complete') continue;
    const events = [...body.matchAll(/^id: (\d+)$/gm)].map(([, event]) => Number(event));
    const isWhole = events.length === EVENTS && events.every((event, index) => event === index + 1);
    const isSigned = headers['x-server-seal'] !== undefined;
    if (isWhole && isSigned) continue;
    if (!isSigned) unsigned += 1;
    if (!isWhole) incomplete += 1;
    fleet.record(
      `wrong ${id}: complete 200, signed=${isSigned}, ${events.length} events of ${EVENTS}, from event ${events[0]}`,
    );
  }
  const ends = fleet.routers.map((router) => router.ends.length).join(' and ');
  const findings = [
    `${results.length} streams; complete answers with status 200: ${unsigned} without the server's signature, ${incomplete} with events missing; the processes ended by themselves ${ends} times`,
  ];
  return { isBroken: unsigned + incomplete > 0, findings };
});
