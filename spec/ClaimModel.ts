/** Models two instances that claim one key; inserts may be late, and holders may pause or crash. */
import { evaluateClaim } from '../src/core/claims/ClaimStore.js';
import { ClaimState, ClaimVerdict, type ClaimRow } from '../src/core/claims/Types.js';
import type { Model } from './Checker.js';

enum Phase {
  Start = 'start',
  Inserting = 'inserting',
  Settling = 'settling',
  Held = 'held',
  Dispatched = 'dispatched',
  Releasing = 'releasing',
  /** The caller was told not-run. */
  NotRun = 'not-run',
  /** The caller was told unknown. */
  Unknown = 'unknown',
  Complete = 'complete',
  Crashed = 'crashed',
}

interface Instance {
  readonly phase: Phase;
  /** Version that the insert in flight requires; -1 when none is in flight. */
  readonly inFlight: number;
  readonly dispatches: number;
  /** Number of tries to claim the key, each with its own attempt id. */
  readonly tries: number;
}

interface State {
  readonly version: number;
  readonly row: Pick<ClaimRow, 'state' | 'attempt'> | null;
  readonly runs: number;
  readonly instances: readonly Instance[];
}

const NAMES = ['a', 'b'];
const DIGEST = 'digest';
const MAX_TRIES = 2;

function updateInstance(state: State, index: number, patch: Partial<Instance>): State {
  return {
    ...state,
    instances: state.instances.map((item, at) => (at === index ? { ...item, ...patch } : item)),
  };
}

const attemptOf = (state: State, index: number): string =>
  `${NAMES[index]}${state.instances[index].tries}`;

function rowOf(state: State): ClaimRow | undefined {
  return state.row === null ? undefined : { ...state.row, holder: '', digest: DIGEST };
}

function verdictOf(state: State, index: number): ClaimVerdict | undefined {
  return evaluateClaim(rowOf(state), {
    account: '',
    key: '',
    digest: DIGEST,
    attempt: attemptOf(state, index),
  });
}

function write(state: State, row: State['row']): State {
  return { ...state, row, version: state.version + 1 };
}

/** Continues as the verdict on the recorded claim says. */
function applyVerdict(
  state: State,
  index: number,
  verdict: ClaimVerdict,
  isBroken: boolean,
): State {
  if (verdict === ClaimVerdict.Held) return updateInstance(state, index, { phase: Phase.Held });
  if (verdict === ClaimVerdict.Replay)
    return updateInstance(state, index, { phase: Phase.Complete });
  // The broken variant takes a claim over when its holder does not answer.
  return updateInstance(state, index, { phase: isBroken ? Phase.Held : Phase.Unknown });
}

type Transition = (state: State, index: number, isBroken: boolean) => State;

const TRANSITIONS: Readonly<Record<string, Transition>> = {
  claim: (state, index, isBroken) => {
    const verdict = verdictOf(state, index);
    if (verdict !== undefined) return applyVerdict(state, index, verdict, isBroken);
    return updateInstance(state, index, { phase: Phase.Inserting, inFlight: state.version });
  },
  /** The table service applies the insert, unless the row has changed since it was read. */
  applyWrite: (state, index) => {
    const { inFlight } = state.instances[index];
    const done = updateInstance(state, index, { inFlight: -1 });
    if (inFlight !== state.version) return done;
    return write(done, { state: ClaimState.Running, attempt: attemptOf(state, index) });
  },
  loseAnswer: (state, index) => updateInstance(state, index, { phase: Phase.Settling }),
  receiveAnswer: (state, index, isBroken) => {
    const verdict = verdictOf(state, index);
    if (verdict === undefined) return updateInstance(state, index, { phase: Phase.Start });
    return applyVerdict(state, index, verdict, isBroken);
  },
  settle: (state, index, isBroken) => {
    const verdict = verdictOf(state, index);
    if (verdict !== undefined) return applyVerdict(state, index, verdict, isBroken);
    const cancelled = write(state, {
      state: ClaimState.Released,
      attempt: `${attemptOf(state, index)}/cancelled`,
    });
    return updateInstance(cancelled, index, { phase: Phase.NotRun });
  },
  dispatch: (state, index) => {
    const { dispatches } = state.instances[index];
    return {
      ...updateInstance(state, index, { phase: Phase.Dispatched, dispatches: dispatches + 1 }),
      runs: state.runs + 1,
    };
  },
  /** The instance refuses the request without having dispatched it. */
  refuse: (state, index) => updateInstance(state, index, { phase: Phase.Releasing }),
  release: (state, index) => {
    const released = write(state, { state: ClaimState.Released, attempt: attemptOf(state, index) });
    return updateInstance(released, index, { phase: Phase.NotRun });
  },
  complete: (state, index) => {
    const done = write(state, { state: ClaimState.Done, attempt: attemptOf(state, index) });
    return updateInstance(done, index, { phase: Phase.Complete });
  },
  /** The instance loses the connection to the server before it has the answer. */
  loseConnection: (state, index) => updateInstance(state, index, { phase: Phase.Unknown }),
  /** The caller repeats its request with the same key. */
  retry: (state, index) =>
    updateInstance(state, index, {
      phase: Phase.Start,
      tries: state.instances[index].tries + 1,
      dispatches: 0,
    }),
  crash: (state, index) => updateInstance(state, index, { phase: Phase.Crashed }),
};

const ENABLED: Readonly<Record<Phase, (instance: Instance) => readonly string[]>> = {
  [Phase.Start]: () => ['claim', 'crash'],
  [Phase.Inserting]: ({ inFlight }) =>
    inFlight >= 0 ? ['loseAnswer', 'crash'] : ['receiveAnswer', 'loseAnswer', 'crash'],
  [Phase.Settling]: () => ['settle', 'crash'],
  [Phase.Held]: () => ['dispatch', 'refuse', 'crash'],
  [Phase.Dispatched]: () => ['complete', 'loseConnection', 'crash'],
  [Phase.Releasing]: () => ['release', 'crash'],
  [Phase.NotRun]: ({ tries, inFlight }) => (tries < MAX_TRIES && inFlight < 0 ? ['retry'] : []),
  [Phase.Unknown]: ({ tries, inFlight }) => (tries < MAX_TRIES && inFlight < 0 ? ['retry'] : []),
  [Phase.Complete]: () => [],
  [Phase.Crashed]: () => [],
};

export const claimModel: Model<State> = {
  name: 'claims',
  defect: 'a running claim whose holder does not answer is taken over',
  initial: {
    version: 0,
    row: null,
    runs: 0,
    instances: NAMES.map(() => ({
      phase: Phase.Start,
      inFlight: -1,
      dispatches: 0,
      tries: 1,
    })),
  },
  invariants: {
    'a key runs at most once': ({ runs }) => runs <= 1,
    'an attempt reported as not run was not dispatched': ({ instances }) =>
      instances.every(({ phase, dispatches }) => phase !== Phase.NotRun || dispatches === 0),
    'a stored answer means one run': ({ row, runs }) =>
      row?.state !== ClaimState.Done || runs === 1,
  },
  enabled: (state) =>
    state.instances.flatMap((instance, index) => {
      const names = [
        ...ENABLED[instance.phase](instance),
        ...(instance.inFlight >= 0 ? ['applyWrite'] : []),
      ];
      return names.map((name) => `${name} ${NAMES[index]}`);
    }),
  next: (state, event, isBroken) => {
    const [name, instance] = event.split(' ');
    return TRANSITIONS[name](state, NAMES.indexOf(instance), isBroken);
  },
};
