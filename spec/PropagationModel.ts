/**
 * Models ticket propagation to two instances that may read a stale head, receive tickets out of order
 * and restart.
 */
import { Configuration } from '../src/core/tickets/Configuration.js';
import { Invariants } from '../src/core/Invariant.js';
import type { CommittedTicket } from '../src/core/tickets/Types.js';
import type { Model } from './Checker.js';

interface Instance {
  readonly applied: number;
  readonly ready: boolean;
  /** Head that the last read returned, stale or current; -1 before the first read. */
  readonly read: number;
  /**
   * Whether the instance ever became ready while behind the head that was current at that time or, if its
   * peer confirmed the head, while behind that peer.
   */
  readonly becameReadyBehind: boolean;
  /** Whether the configuration in force ever went back to an earlier ticket. */
  readonly wentBack: boolean;
  readonly restarts: number;
}

interface State {
  /** Number of the latest committed ticket. */
  readonly head: number;
  /** Ticket of the snapshot in the object store. */
  readonly snapshot: number;
  readonly instances: readonly Instance[];
}

const NAMES = ['a', 'b'];
const MAX_HEAD = 2;
const MAX_RESTARTS = 1;

function ticket(number: number): CommittedTicket {
  return { number, submission: '', at: '', author: '', reason: '', changes: [] };
}

/** Applies tickets with the router's `Configuration` and returns the number then in force. */
function applyTickets(applied: number, numbers: readonly number[], isBroken: boolean): number {
  if (isBroken) return numbers.at(-1) ?? applied;
  const configuration = new Configuration(new Invariants(true));
  for (let number = 1; number <= applied; number += 1) configuration.apply(ticket(number));
  for (const number of numbers) configuration.apply(ticket(number));
  return configuration.ticketNumber;
}

function updateInstance(state: State, index: number, patch: Partial<Instance>): State {
  const before = state.instances[index];
  const after = { ...before, ...patch };
  const wentBack =
    before.wentBack || (before.restarts === after.restarts && after.applied < before.applied);
  return {
    ...state,
    instances: state.instances.map((item, at) => (at === index ? { ...after, wentBack } : item)),
  };
}

function becomeReady(state: State, index: number, isBehind: boolean): State {
  const { becameReadyBehind } = state.instances[index];
  return updateInstance(state, index, {
    ready: true,
    becameReadyBehind: becameReadyBehind || isBehind,
  });
}

type Transition = (state: State, index: number, value: number, isBroken: boolean) => State;

const TRANSITIONS: Readonly<Record<string, Transition>> = {
  commit: (state) => ({ ...state, head: state.head + 1 }),
  storeSnapshot: (state, index) => ({
    ...state,
    snapshot: Math.max(state.snapshot, state.instances[index].applied),
  }),
  /** Any read may return a stale head; the tickets up to it are then read one by one. */
  readHead: (state, index, value) => updateInstance(state, index, { read: value }),
  applyTicket: (state, index, value, isBroken) =>
    updateInstance(state, index, {
      applied: applyTickets(state.instances[index].applied, [value], isBroken),
    }),
  /** An empty transaction on the head's version confirms that the head read is current. */
  confirmHeadByTable: (state, index) => {
    const { applied } = state.instances[index];
    return becomeReady(state, index, applied < state.head);
  },
  /** A ready peer confirms the head that it holds, which this instance has applied too. */
  confirmHeadByPeer: (state, index) => {
    const { applied } = state.instances[index];
    return becomeReady(state, index, applied < state.instances[1 - index].applied);
  },
  restart: (state, index) =>
    updateInstance(state, index, {
      applied: state.snapshot,
      ready: false,
      read: -1,
      restarts: state.instances[index].restarts + 1,
    }),
};

/** Events are an action, a ticket number and an instance; actions without a number have 0. */
function enabledFor(state: State, index: number): string[] {
  const instance = state.instances[index];
  const peer = state.instances[1 - index];
  const events: string[] = [];
  for (let value = 0; value <= state.head; value += 1)
    if (value !== instance.read) events.push(`readHead ${value}`);
  // Tickets arrive in any order, from the table or a peer.
  for (let value = 1; value <= state.head; value += 1) {
    if (value <= Math.max(instance.read, peer.applied)) events.push(`applyTicket ${value}`);
  }
  if (!instance.ready && instance.read === state.head && instance.applied >= instance.read)
    events.push('confirmHeadByTable 0');
  if (!instance.ready && peer.ready && instance.applied >= peer.applied)
    events.push('confirmHeadByPeer 0');
  if (instance.applied > state.snapshot) events.push('storeSnapshot 0');
  if (instance.restarts < MAX_RESTARTS) events.push('restart 0');
  return events.map((event) => `${event} ${NAMES[index]}`);
}

export const propagationModel: Model<State> = {
  name: 'ticket propagation',
  defect: 'a ticket is applied even if its number is not the next one',
  initial: {
    head: 0,
    snapshot: 0,
    instances: NAMES.map(() => ({
      applied: 0,
      ready: false,
      read: -1,
      becameReadyBehind: false,
      wentBack: false,
      restarts: 0,
    })),
  },
  invariants: {
    'a configuration never goes back': ({ instances }) =>
      instances.every(({ wentBack }) => !wentBack),
    'an instance becomes ready on a confirmed head': ({ instances }) =>
      instances.every(({ becameReadyBehind }) => !becameReadyBehind),
    'only committed tickets are applied': ({ head, instances }) =>
      instances.every(({ applied }) => applied <= head),
  },
  enabled: (state) => [
    ...(state.head < MAX_HEAD ? ['commit 0 a'] : []),
    ...NAMES.flatMap((_, index) => enabledFor(state, index)),
  ],
  next: (state, event, isBroken) => {
    const [name, value, instance] = event.split(' ');
    return TRANSITIONS[name](state, NAMES.indexOf(instance), Number(value), isBroken);
  },
};
