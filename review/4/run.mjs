import path from 'node:path';
import { fileURLToPath } from 'node:url';
import { EndlessServerProcess } from '../harness/EndlessServerProcess.mjs';
import { FAULTY_MS } from '../harness/Faults.mjs';
import { loopbackAddress, pause, playCase } from '../harness/Fleet.mjs';
import { judgeLost, playTraffic } from '../harness/Traffic.mjs';

/** Bandwidth of a client's link, in bytes per millisecond: 100 Mbit/s. */
const CLIENT_BYTES_PER_MS = 12_500;

/** Time from the start of the traffic until the server is faulty, in milliseconds. */
const FAULTY_FROM_MS = 2000;

/** Time limit of the routes, as on the sheet, in milliseconds. */
const TIMEOUT_MS = 20_000;

const TRAFFIC = {
  plainClients: 40,
  streamClients: 20,
  playMs: 20_000,
  prepare: (client) => {
    client.linkBytesPerMs = CLIENT_BYTES_PER_MS;
  },
};

await playCase(path.dirname(fileURLToPath(import.meta.url)), async (fleet, hasTrouble) => {
  const { store, record } = fleet;
  const faulty = fleet.own(
    new EndlessServerProcess({
      id: 'engine-faulty',
      zone: 'a',
      host: loopbackAddress(200),
      store,
      record,
    }),
  );
  const change = (config) => {
    for (const route of config.routes) route.timeout_ms = TIMEOUT_MS;
    return config;
  };
  await fleet.start({ zones: ['a', 'b'], routers: 2, engines: 2, plains: 3, change });
  await fleet.waitUntil(() => faulty.holdsLayers, 10_000, 'the layers of the faulty server');
  for (const server of fleet.serversOf('plain')) server.workMs = 43;
  for (const server of fleet.serversOf('engine'))
    Object.assign(server, { firstEventMs: 300, eventMs: 40, events: 20 });

  const disrupt = async () => {
    await pause(FAULTY_FROM_MS);
    faulty.setFaulty(hasTrouble);
    await pause(FAULTY_MS);
    faulty.setFaulty(false);
  };
  const [results] = await Promise.all([playTraffic(fleet, TRAFFIC), disrupt()]);
  const runAtFaulty = new Set(faulty.runs);
  const runAtSound = new Set(fleet.servers.flatMap(({ runs }) => runs.map(({ id }) => id)));
  const { isBroken, findings } = judgeLost(
    fleet,
    results,
    ({ id }) => runAtSound.has(id) && !runAtFaulty.has(id),
  );
  return { isBroken, findings: [`${faulty.endless} answers without end`, ...findings] };
});
