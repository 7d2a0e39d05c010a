import path from 'node:path';
import { fileURLToPath } from 'node:url';
import { EndlessServerProcess } from '../harness/EndlessServerProcess.mjs';
import { loopbackAddress, pause, playCase } from '../harness/Fleet.mjs';
import { MEMORY_MB } from '../harness/RouterProcess.mjs';

const PLAY_MS = 30_000;

const PLAIN_CLIENTS = 40;
const STREAM_CLIENTS = 10;

/** Bandwidth of a client's link, in bytes per millisecond: 100 Mbit/s. */
const CLIENT_BYTES_PER_MS = 12_500;

/** Times that the rule allows. */
const MAX_CLOSED = 3;

await playCase(path.dirname(fileURLToPath(import.meta.url)), async (fleet, hasTrouble) => {
  const { store, record } = fleet;
  const faulty = fleet.own(
    new EndlessServerProcess({
      id: 'engine-faulty',
      zone: 'a',
      host: loopbackAddress(200),
      isFaulty: hasTrouble,
      store,
      record,
    }),
  );
  const change = (config) => {
    for (const route of config.routes) route.timeout_ms = 20_000;
    return config;
  };
  await fleet.start({ zones: ['a', 'b'], routers: 2, engines: 2, plains: 3, change });
  await fleet.waitUntil(() => faulty.holdsLayers, 10_000, 'the layers of the faulty server');
  for (const server of fleet.serversOf('plain')) server.workMs = 43;
  for (const server of fleet.serversOf('engine'))
    Object.assign(server, { firstEventMs: 300, eventMs: 40, events: 20 });

  const results = [];
  const endsAt = fleet.now() + PLAY_MS;
  const loop = async (router, number, isStream) => {
    const kind = isStream ? 'stream' : 'plain';
    const client = fleet.client(`${kind}-${number}-${router.name}`, router);
    client.linkBytesPerMs = CLIENT_BYTES_PER_MS;
    for (let count = 1; fleet.now() < endsAt; count += 1) {
      const id = `${client.name}-${count}`;
      const headers = {
        'x-model': 'model',
        'x-token-count': '100,40',
        'x-prompt-prefix': `a1:40,${number}${count}:60`,
      };
      const plainPath = number % 2 === 0 ? '/book/1' : '/read/1';
      const result = await client.send({
        id,
        path: isStream ? '/stream/1' : plainPath,
        deadlineMs: isStream ? 20_000 : 1000,
        ...(isStream && { headers }),
      });
      results.push({ ...result, router });
      await pause(250);
    }
  };
  const loops = [];
  for (const router of fleet.routers) {
    for (let number = 0; number < PLAIN_CLIENTS; number += 1)
      loops.push(loop(router, number, false));
    for (let number = 0; number < STREAM_CLIENTS; number += 1)
      loops.push(loop(router, number, true));
  }
  await Promise.all(loops);

  const runAtFaulty = new Set(faulty.runs);
  const runAtSound = new Set(fleet.servers.flatMap(({ runs }) => runs.map(({ id }) => id)));
  const wasSound = ({ id }) => runAtSound.has(id) && !runAtFaulty.has(id);
  const findings = [`${results.length} requests; ${faulty.endless} answers without end`];
  let isBroken = false;
  for (const router of fleet.routers) {
    const own = results.filter((result) => result.router === router && wasSound(result));
    const closed = own.filter(({ end, kept }) => end === 'closed' && kept);
    const cut = own.filter(({ end }) => end === 'cut');
    for (const { id } of closed) record(`closed without an answer: ${id}`);
    isBroken ||= closed.length > MAX_CLOSED;
    findings.push(
      `${router.name}: ${closed.length} requests from kept connections, passed on to sound servers, were closed without an answer (allowed: ${MAX_CLOSED}); ${cut.length} streams of sound servers were cut; memory up to ${Math.round(router.peakMb)} MB of ${MEMORY_MB} MB; the process ended by itself ${router.ends.length} times (${JSON.stringify(router.ends)})`,
    );
  }
  return { isBroken, findings };
});
