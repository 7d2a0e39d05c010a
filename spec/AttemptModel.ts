/**
 * Models one attempt that may run at most once, at an instance that may send it up to `MAX_SENDS`
 * times. The model does not tell servers apart. Bytes in transit may or may not arrive, whatever
 * happens to the connection; the outcome reported to the caller must stay true.
 */
import { Outcome, RetryReason } from '../src/core/Outcome.js';
import { retryReason } from '../src/core/relay/CallRelay.js';
import { SendTracker } from '../src/core/relay/SendTracker.js';
import { CallFailure } from '../src/core/relay/Types.js';
import type { Model } from './Checker.js';

enum WireState {
  /** The connection is being opened. */
  Opening = 'opening',
  /** The bytes are in transit or wait to be read. */
  Sent = 'sent',
  Ran = 'ran',
  Rejected = 'rejected',
  /** The send can have no further effect. */
  Over = 'over',
}

interface Send {
  readonly wire: WireState;
  /** Whether the instance still waits for the answer. */
  readonly isOpen: boolean;
}

interface State {
  readonly sends: readonly Send[];
  readonly runs: number;
  /** Whether the instance has recorded that a server may have run the request. */
  readonly mayHaveRun: boolean;
  /** What the caller was told; undefined while it waits. */
  readonly response: Outcome | 'answer' | undefined;
}

const MAX_SENDS = 3;

const UNLIMITED_RETRY_BUDGET = {
  recordRequest: () => {},
  hasRetry: () => true,
  consumeRetry: () => true,
};

/** Rebuilds the instance's send tracker for a state. */
function trackerOf({ sends, mayHaveRun }: State): SendTracker {
  const tracker = new SendTracker({
    maxServers: 2,
    service: 'plain',
    retryBudget: UNLIMITED_RETRY_BUDGET,
    hasEnded: () => false,
  });
  if (mayHaveRun) tracker.recordResult(true);
  if (sends.some(({ isOpen }) => isOpen)) tracker.markInFlight();
  return tracker;
}

function updateSend(state: State, at: number, patch: Partial<Send>): State {
  const sends = state.sends.map((one, index) => (index === at ? { ...one, ...patch } : one));
  return { ...state, sends };
}

/** Ends the send in progress and records whether its server may have run the request. */
function endSend(state: State, at: number, patch: Partial<Send>, mayHaveRun: boolean): State {
  const tracker = trackerOf(state);
  tracker.recordResult(mayHaveRun);
  return { ...updateSend(state, at, { ...patch, isOpen: false }), mayHaveRun: tracker.mayHaveRun };
}

/** Reports to the caller that no answer will come. */
function respond(state: State): State {
  const response = trackerOf(state).mayHaveRun ? Outcome.Unknown : Outcome.NotRun;
  return { ...state, response };
}

function sendRequest(state: State): State {
  return { ...state, sends: [...state.sends, { wire: WireState.Opening, isOpen: true }] };
}

/** Fails the send in progress and retries the request if that is allowed. */
function fail(state: State, at: number, failure: CallFailure, isBroken: boolean): State {
  const isNotSent = retryReason(failure) === RetryReason.NotConnected;
  const patch = isNotSent ? { wire: WireState.Over } : {};
  const settled = endSend(state, at, patch, !isNotSent);
  const mayRetry = isNotSent || isBroken;
  return mayRetry && state.sends.length < MAX_SENDS ? sendRequest(settled) : respond(settled);
}

type Transition = (state: State, at: number, isBroken: boolean) => State;

const TRANSITIONS: Readonly<Record<string, Transition>> = {
  sendRequest: (state) => sendRequest(state),
  failToConnect: (state, at, isBroken) => fail(state, at, CallFailure.NotSent, isBroken),
  transmit: (state, at) => updateSend(state, at, { wire: WireState.Sent }),
  loseConnection: (state, at, isBroken) => fail(state, at, CallFailure.ConnectionLost, isBroken),
  loseRequest: (state, at) => updateSend(state, at, { wire: WireState.Over }),
  run: (state, at) => ({ ...updateSend(state, at, { wire: WireState.Ran }), runs: state.runs + 1 }),
  reject: (state, at) => updateSend(state, at, { wire: WireState.Rejected }),
  receiveAnswer: (state, at) => ({
    ...endSend(state, at, { wire: WireState.Over }, true),
    response: 'answer',
  }),
  receiveRejection: (state, at) => respond(endSend(state, at, { wire: WireState.Over }, false)),
  exceedDeadline: (state) => respond(state),
};

function eventsOf({ wire, isOpen }: Send, hasResponse: boolean): string[] {
  const isListening = isOpen && !hasResponse;
  if (wire === WireState.Opening) return isListening ? ['failToConnect', 'transmit'] : [];
  const ends = isListening ? ['loseConnection'] : [];
  if (wire === WireState.Sent) return [...ends, 'run', 'reject', 'loseRequest'];
  if (wire === WireState.Ran) return isListening ? [...ends, 'receiveAnswer'] : [];
  return wire === WireState.Rejected && isListening ? [...ends, 'receiveRejection'] : [];
}

export const attemptModel: Model<State> = {
  name: 'one attempt that may run at most once',
  defect: 'an attempt that lost its connection is sent again',
  initial: { sends: [], runs: 0, mayHaveRun: false, response: undefined },
  invariants: {
    'it runs at most once': ({ runs }) => runs <= 1,
    'an attempt reported as not run has not run and never runs': ({ response, runs }) =>
      response !== Outcome.NotRun || runs === 0,
  },
  /** Events are an action and the index of its send; 'sendRequest' and 'exceedDeadline' ignore the index. */
  enabled: (state) => {
    const hasResponse = state.response !== undefined;
    if (state.sends.length === 0) return ['sendRequest 0', 'exceedDeadline 0'];
    const events = state.sends.flatMap((one, at) =>
      eventsOf(one, hasResponse).map((event) => `${event} ${at}`),
    );
    return hasResponse ? events : [...events, 'exceedDeadline 0'];
  },
  next: (state, event, isBroken) => {
    const [name, at] = event.split(' ');
    return TRANSITIONS[name](state, Number(at), isBroken);
  },
};
