import path from 'node:path';
import { fileURLToPath } from 'node:url';
import { LinkFault } from '../../dist/features/soak/FaultProxy.js';
import { pause, playCase } from '../harness/Fleet.mjs';
import { BOUNDS } from '../harness/RouterProcess.mjs';

/** Length of the cut, in milliseconds. */
const CUT_MS = 5500;

/** Time from the start of the cut until the server begins to leave, in milliseconds. */
const LEAVING_AFTER_MS = 300;

/** Time for which a leaving server serves beyond its drain, in milliseconds. */
const LINGER_MS = 1500;

const CLIENTS = 40;

await playCase(path.dirname(fileURLToPath(import.meta.url)), async (fleet, hasTrouble) => {
  await fleet.start({ zones: ['a'], routers: 1, engines: 1, plains: 3 });
  const [router] = fleet.routers;
  const plains = fleet.serversOf('plain');
  const [leaving] = plains;
  for (const server of plains) server.workMs = 100;

  const results = [];
  let isPlaying = true;
  const loop = async (number) => {
    const client = fleet.client(`client-${number}`, router);
    const target = number % 2 === 0 ? '/book/1' : '/read/1';
    for (let count = 1; isPlaying; count += 1) {
      const id = `${client.name}-${count}`;
      results.push(await client.send({ id, path: target, deadlineMs: 1000 }));
      await pause(150);
    }
  };
  const loops = Array.from({ length: CLIENTS }, (_, number) => loop(number));
  await pause(1000);

  const cutAt = fleet.now();
  if (hasTrouble) {
    fleet.record(`the link of ${router.name} to the store is silent`);
    fleet.storeLinks[0].fault = LinkFault.Silent;
  }
  await pause(LEAVING_AFTER_MS);
  leaving.saysLeaving = true;
  leaving.announce('draining');
  fleet.record(`${leaving.id} is leaving: the store has accepted its report`);
  await pause(BOUNDS.drain_ms + LINGER_MS);
  leaving.stop();
  const endedAt = fleet.now();
  fleet.record(`${leaving.id} has ended`);
  fleet.store.remove('servers', leaving.id);
  await pause(Math.max(0, cutAt + CUT_MS - fleet.now()));
  fleet.storeLinks[0].fault = LinkFault.None;
  fleet.record(`the link of ${router.name} to the store is whole`);
  await pause(2000);
  isPlaying = false;
  await Promise.all(loops);

  const told = results.filter(({ headers }) => headers['server-leaving'] === '1');
  if (told.length === 0) {
    const finding = `${results.length} requests; no answer with Server-Leaving was passed on`;
    return { isBroken: false, findings: [finding] };
  }
  const toldAt = Math.min(...told.map((result) => result.endedAt));
  fleet.record(`first answer with Server-Leaving passed on at ${Math.round(toldAt)}`);
  const ran = new Set(leaving.runs.map(({ id }) => id));
  const late = results.filter(({ id, sentAt }) => ran.has(id) && sentAt > toldAt + BOUNDS.drain_ms);
  for (const { id, sentAt } of late)
    fleet.record(`late: ${id}, sent ${Math.round(sentAt - toldAt)} ms after the answer`);
  const lost = late.filter(({ status, end }) => end !== 'complete' || status >= 500);
  const latest = Math.max(0, ...late.map(({ sentAt }) => Math.round(sentAt - toldAt)));
  return {
    isBroken: late.length > 0,
    findings: [
      `${results.length} requests; ${late.length} of them, sent later than ${BOUNDS.drain_ms} ms after the router had passed on an answer with Server-Leaving, reached the leaving server (the last ${latest} ms after it); ${lost.length} of these were lost when the server ended, ${Math.round(endedAt - toldAt)} ms after that answer`,
    ],
  };
});
