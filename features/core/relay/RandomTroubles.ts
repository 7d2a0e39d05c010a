import { SeededRandom } from '../../../src/fakes/SeededRandom.js';
import { CallFailure, RerouteStatus } from '../../../src/core/relay/Types.js';
import { REACTIONS, type ScriptedStream } from './ScriptedStream.js';

/** Number of troubles of one stream. */
const TROUBLES = 6;

/** Longest time between two troubles, in milliseconds. */
const MAX_BETWEEN_MS = 500;

/** Longest pause of a server, in milliseconds. */
const MAX_PAUSE_MS = 2500;

/** Longest time for which further first servers react, in milliseconds. */
const MAX_REACTION_MS = 1500;

/** Longest time for which the caller does not read, in milliseconds. */
const MAX_UNREAD_MS = 700;

const SERVERS = ['s1', 's2', 's3', 's1-spare', 's2-spare', 's3-spare'];

type Trouble = (stream: ScriptedStream, random: SeededRandom) => void;

function pauseSome(stream: ScriptedStream, random: SeededRandom): void {
  const ids = Array.from({ length: 1 + Math.floor(random.next() * 3) }, () => random.pick(SERVERS));
  stream.pause(ids, stream.fixture.clock.now() + random.next() * MAX_PAUSE_MS);
}

function react(stream: ScriptedStream, random: SeededRandom): void {
  Object.assign(stream, {
    reaction: REACTIONS[random.pick(Object.keys(REACTIONS))],
    reactsUntil: stream.fixture.clock.now() + random.next() * MAX_REACTION_MS,
  });
}

const KINDS: readonly Trouble[] = [
  pauseSome,
  pauseSome,
  react,
  ({ fixture: { servers } }, random) => {
    const open = servers.calls.filter(({ disposed }) => !disposed);
    if (open.length > 0) random.pick(open).listener.onFailure(CallFailure.ConnectionLost);
  },
  ({ fixture: { servers } }, random) => {
    const status = random.pick([RerouteStatus.Accepted, RerouteStatus.Rejected]);
    servers.rerouteAnswer = { status };
  },
  ({ caller, fixture: { clock } }, random) => {
    Object.assign(caller, { isReading: false });
    clock.schedule(random.next() * MAX_UNREAD_MS, () => caller.readOn());
  },
];

/** Runs a stream through random troubles, after which its servers work again. */
export async function runWithTroubles(stream: ScriptedStream, seed: number): Promise<void> {
  const random = new SeededRandom(seed);
  for (let count = 0; count < TROUBLES && stream.caller.outcome === 'open'; count += 1) {
    await stream.run(random.next() * MAX_BETWEEN_MS);
    random.pick(KINDS)(stream, random);
  }
  Object.assign(stream, { reactsUntil: 0 });
}
