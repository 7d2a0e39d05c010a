/** Usual traffic of plain calls and streams, and the check of the rule LOST that several cases share. */
import { pause } from './Fleet.mjs';

/** Pause of a client between an answer and its next request, in milliseconds. */
const THINK_MS = 250;

/** Clients begin one after the other, this far apart, within a second, in milliseconds. */
const STAGGER_MS = 61;
const STAGGER_WITHIN_MS = 1000;

const PLAIN_DEADLINE_MS = 1000;

const STREAM_DEADLINE_MS = 20_000;

/** Times that the rule LOST allows a machine to close a connection without an answer. */
export const MAX_CLOSED = 3;

async function playClient(fleet, { router, number, isStream, playMs, prepare }) {
  const results = [];
  const kind = isStream ? 'stream' : 'plain';
  const client = fleet.client(`${kind}-${number}-${router.name}`, router);
  prepare(client);
  const plainPath = number % 2 === 0 ? '/book/1' : '/read/1';
  const endsAt = fleet.now() + playMs;
  await pause((number * STAGGER_MS) % STAGGER_WITHIN_MS);
  for (let count = 1; fleet.now() < endsAt; count += 1) {
    const headers = {
      'x-model': 'model',
      'x-token-count': '100,40',
      'x-prompt-prefix': `a1:40,${number}${count}:60`,
    };
    const result = await client.send({
      id: `${client.name}-${count}`,
      path: isStream ? '/stream/1' : plainPath,
      deadlineMs: isStream ? STREAM_DEADLINE_MS : PLAIN_DEADLINE_MS,
      ...(isStream && { headers }),
    });
    results.push({ ...result, router });
    await pause(THINK_MS);
  }
  return results;
}

/**
 * Sends requests to every router until `playMs` have passed.
 * @param plainClients - clients of each router that book and read in turn
 * @param streamClients - clients of each router that ask for streams
 * @param prepare - called with each client before its first request
 * @returns the results of all requests, each with its `router`
 */
export async function playTraffic(
  fleet,
  { plainClients, streamClients, playMs, prepare = () => {} },
) {
  const clients = [];
  for (const router of fleet.routers) {
    for (let number = 0; number < plainClients; number += 1)
      clients.push({ router, number, isStream: false, playMs, prepare });
    for (let number = 0; number < streamClients; number += 1)
      clients.push({ router, number, isStream: true, playMs, prepare });
  }
  const results = await Promise.all(clients.map((client) => playClient(fleet, client)));
  return results.flat();
}

/**
 * Judges the rule LOST.
 * @param wasSound - whether a request was passed on, and to sound servers alone
 */
export function judgeLost(fleet, results, wasSound) {
  const findings = [];
  let isBroken = false;
  for (const router of fleet.routers) {
    const own = results.filter((result) => result.router === router);
    const closed = own.filter(
      (result) => result.end === 'closed' && result.kept && wasSound(result),
    );
    const cut = own.filter((result) => result.end === 'cut' && wasSound(result));
    const unanswered = own.filter(({ end }) => end === 'deadline');
    for (const { id } of closed) fleet.record(`closed without an answer: ${id}`);
    isBroken ||= closed.length > MAX_CLOSED;
    findings.push(
      `${router.name}: ${closed.length} of ${own.length} requests came from kept connections, were passed on to sound servers and closed without an answer (allowed: ${MAX_CLOSED}); ${cut.length} streams of sound servers were cut; ${unanswered.length} requests had no answer at their deadline; memory up to ${Math.round(router.peakMb)} MB; the process ended by itself ${router.ends.length} times ${JSON.stringify(router.ends)}`,
    );
  }
  return { isBroken, findings };
}
