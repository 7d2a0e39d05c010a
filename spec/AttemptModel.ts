/**
 * One attempt of a caller that may run once, at an instance that may send it to two servers. Bytes on the
 * wire arrive or not, whatever becomes of the connection; what the caller is told must stay true.
 */
import { Outcome, RetryReason } from '../src/core/Outcome.js';
import { retryReason } from '../src/core/relay/CallRelay.js';
import { SendTracker } from '../src/core/relay/SendTracker.js';
import { CallFailure } from '../src/core/relay/Types.js';
import type { Model } from './Checker.js';

enum Wire {
  /** The connection is being opened. */
  Opening = 'opening',
  /** Bytes are under way, or wait to be read. */
  Sent = 'sent',
  Ran = 'ran',
  Rejected = 'rejected',
  /** Nothing will come of it any more. */
  Over = 'over',
}

interface Send {
  readonly wire: Wire;
  /** Whether the instance still listens for the answer. */
  readonly isOpen: boolean;
}

interface State {
  readonly sends: readonly Send[];
  readonly runs: number;
  /** Whether the ledger holds that some server may have run the request. */
  readonly mayHaveRun: boolean;
  readonly told: Outcome | 'answer' | undefined;
}

const MAX_SENDS = 3;

const NO_BUDGET = { recordRequest: () => {}, hasRetry: () => true, consumeRetry: () => true };

/** The instance's ledger as it stands in a state. */
function ledgerOf({ sends, mayHaveRun }: State): SendTracker {
  const ledger = new SendTracker({ maxServers: 2, service: 'plain', retryBudget: NO_BUDGET });
  if (mayHaveRun) ledger.endCall(true);
  if (sends.some(({ isOpen }) => isOpen)) ledger.startCall();
  return ledger;
}

function change(state: State, at: number, part: Partial<Send>): State {
  const sends = state.sends.map((one, index) => (index === at ? { ...one, ...part } : one));
  return { ...state, sends };
}

/** Ends the call under way, with what the instance takes from it. */
function settle(state: State, at: number, part: Partial<Send>, mayHaveRun: boolean): State {
  const ledger = ledgerOf(state);
  ledger.endCall(mayHaveRun);
  return { ...change(state, at, { ...part, isOpen: false }), mayHaveRun: ledger.mayHaveRun };
}

/** Tells the caller that no answer comes. */
function tell(state: State): State {
  const told = ledgerOf(state).mayHaveRun ? Outcome.Unknown : Outcome.NotRun;
  return { ...state, told };
}

function send(state: State): State {
  return { ...state, sends: [...state.sends, { wire: Wire.Opening, isOpen: true }] };
}

/** The instance sees its call fail, and sends the request again if it may. */
function fail(state: State, at: number, failure: CallFailure, isBroken: boolean): State {
  const isUnsent = retryReason(failure) === RetryReason.NotConnected;
  const part = isUnsent ? { wire: Wire.Over } : {};
  const settled = settle(state, at, part, !isUnsent);
  const mayRepeat = isUnsent || isBroken;
  return mayRepeat && state.sends.length < MAX_SENDS ? send(settled) : tell(settled);
}

type Act = (state: State, at: number, isBroken: boolean) => State;

const ACTS: Readonly<Record<string, Act>> = {
  send: (state) => send(state),
  refuse: (state, at, isBroken) => fail(state, at, CallFailure.NotSent, isBroken),
  transmit: (state, at) => change(state, at, { wire: Wire.Sent }),
  cut: (state, at, isBroken) => fail(state, at, CallFailure.ConnectionLost, isBroken),
  drop: (state, at) => change(state, at, { wire: Wire.Over }),
  run: (state, at) => ({ ...change(state, at, { wire: Wire.Ran }), runs: state.runs + 1 }),
  reject: (state, at) => change(state, at, { wire: Wire.Rejected }),
  answer: (state, at) => ({ ...settle(state, at, { wire: Wire.Over }, true), told: 'answer' }),
  rejection: (state, at) => tell(settle(state, at, { wire: Wire.Over }, false)),
  deadline: (state) => tell(state),
};

function eventsOf({ wire, isOpen }: Send, isTold: boolean): string[] {
  const listens = isOpen && !isTold;
  if (wire === Wire.Opening) return listens ? ['refuse', 'transmit'] : [];
  const ends = listens ? ['cut'] : [];
  if (wire === Wire.Sent) return [...ends, 'run', 'reject', 'drop'];
  if (wire === Wire.Ran) return listens ? [...ends, 'answer'] : [];
  return wire === Wire.Rejected && listens ? [...ends, 'rejection'] : [];
}

export const attemptModel: Model<State> = {
  name: 'one attempt that may run once',
  broken: 'an attempt whose connection broke is sent again',
  initial: { sends: [], runs: 0, mayHaveRun: false, told: undefined },
  invariants: {
    'it runs at most once': ({ runs }) => runs <= 1,
    'not run is true, then and later': ({ told, runs }) => told !== Outcome.NotRun || runs === 0,
  },
  enabled: (state) => {
    const isTold = state.told !== undefined;
    if (state.sends.length === 0) return ['send 0', 'deadline 0'];
    const found = state.sends.flatMap((one, at) =>
      eventsOf(one, isTold).map((event) => `${event} ${at}`),
    );
    return isTold ? found : [...found, 'deadline 0'];
  },
  next: (state, event, isBroken) => {
    const [name, at] = event.split(' ');
    return ACTS[name](state, Number(at), isBroken);
  },
};
