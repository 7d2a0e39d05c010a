/**
 * Two candidates for one lease give orders to a server that checks fencing numbers, or does not.
 * A paused candidate is one that takes no step while time passes.
 */
import { decideLease, LEASE_MS, LeaseStep } from '../src/core/leases/LeaseKeeper.js';
import { maySendOrder, ORDER_TIMEOUT_MS } from '../src/core/placement/OrderDriver.js';
import type { Model } from './Checker.js';

interface Candidate {
  readonly fence: number;
  /** Ticks for which the lease still holds. */
  readonly left: number;
  /** Ticks since the lease was acquired, up to `MAX_AGE`. */
  readonly heldFor: number;
  /** Ticks for which the row was watched unchanged, up to `MAX_AGE`; -1 when it changed since. */
  readonly unchanged: number;
}

interface Order {
  readonly fence: number;
  /** Ticks until the order has timed out and is gone. */
  readonly left: number;
}

interface State {
  readonly holder: number;
  readonly fence: number;
  readonly candidates: readonly Candidate[];
  /** Orders under way. */
  readonly orders: readonly Order[];
  readonly highest: number;
  /** Whether the server took an order older than one it had taken. */
  readonly wentBack: boolean;
}

const TICK_MS = 1000;
const MAX_AGE = 8;
const NAMES = ['a', 'b'];
const ABSENT = -1;
const MAX_FENCE = 3;
const MAX_ORDERS = 2;
const CHANGED = -1;

const older = (value: number): number =>
  value === CHANGED ? CHANGED : Math.min(MAX_AGE, value + 1);

function change(state: State, index: number, part: Partial<Candidate>): State {
  const candidates = state.candidates.map((item, at) =>
    at === index ? { ...item, ...part } : item,
  );
  return { ...state, candidates };
}

/** Reads the row, and acquires or renews as the core decides. */
function look(state: State, index: number): State {
  const candidate = state.candidates[index];
  const row =
    state.holder === ABSENT ? undefined : { holder: NAMES[state.holder], fence: state.fence };
  const unchanged = Math.max(0, candidate.unchanged);
  const holds = state.holder === index && candidate.fence === state.fence;
  const step = decideLease(row, holds, unchanged * TICK_MS);
  if (step === LeaseStep.Watch) return change(state, index, { unchanged });
  const isNew = step === LeaseStep.Acquire;
  const fence = isNew ? state.fence + 1 : state.fence;
  if (fence > MAX_FENCE) return state;
  const candidates = state.candidates.map((item) => ({ ...item, unchanged: CHANGED }));
  const written: State = { ...state, candidates, holder: index, fence };
  const heldFor = isNew ? 0 : candidate.heldFor;
  return change(written, index, { fence, heldFor, left: LEASE_MS / TICK_MS });
}

function send(state: State, index: number): State {
  const { fence } = state.candidates[index];
  return { ...state, orders: [...state.orders, { fence, left: ORDER_TIMEOUT_MS / TICK_MS }] };
}

function arrive(checksFence: boolean, state: State, at: number): State {
  const { fence } = state.orders[at];
  const orders = state.orders.filter((_, index) => index !== at);
  if (checksFence && fence < state.highest) return { ...state, orders };
  const wentBack = state.wentBack || fence < state.highest;
  return { ...state, orders, highest: Math.max(fence, state.highest), wentBack };
}

/** Ages that no longer matter are forgotten, so that equal states are one. */
function age(candidate: Candidate, holds: boolean): Candidate {
  const left = Math.max(0, candidate.left - 1);
  return {
    fence: candidate.fence,
    left,
    heldFor: left > 0 ? older(candidate.heldFor) : 0,
    unchanged: holds ? CHANGED : older(candidate.unchanged),
  };
}

/** Time passes for all, paused or not; orders past their timeout are gone. */
function tick(state: State): State {
  return {
    ...state,
    candidates: state.candidates.map((item, index) => age(item, state.holder === index)),
    orders: state.orders
      .filter(({ left }) => left > 0)
      .map(({ fence, left }) => ({ fence, left: left - 1 })),
  };
}

function canSend(state: State, index: number, checksFence: boolean, isBroken: boolean): boolean {
  const { fence, left, heldFor } = state.candidates[index];
  if (fence === 0 || state.orders.length >= MAX_ORDERS) return false;
  // The broken variant trusts a lease that it held before a pause.
  if (isBroken) return true;
  const lease = {
    heldFence: left > 0 ? fence : 0,
    remainingMs: left * TICK_MS,
    heldForMs: heldFor * TICK_MS,
  };
  return maySendOrder({ checksFence }, lease);
}

function events(state: State): string[] {
  const found = ['tick'];
  for (const [index, name] of NAMES.entries()) {
    found.push(`look ${name}`);
    if (state.candidates[index].fence > 0) found.push(`send ${name}`);
  }
  for (const at of state.orders.keys()) found.push(`arrive ${at}`);
  return found;
}

function leaseModel(checksFence: boolean): Model<State> {
  return {
    name: checksFence ? 'lease, server checks the fence' : 'lease, server does not check',
    broken: checksFence
      ? 'the server takes an old fencing number'
      : 'a holder that wakes sends without looking at its lease again',
    initial: {
      holder: ABSENT,
      fence: 0,
      candidates: NAMES.map(() => ({
        fence: 0,
        left: 0,
        heldFor: 0,
        unchanged: CHANGED,
        paused: false,
      })),
      orders: [],
      highest: 0,
      wentBack: false,
    },
    invariants: {
      'no order is older than one taken before': ({ wentBack }) => !wentBack,
    },
    enabled: events,
    next: (state, event, isBroken) => {
      const [name, subject] = event.split(' ');
      const index = NAMES.indexOf(subject);
      if (name === 'tick') return tick(state);
      if (name === 'look') return look(state, index);
      if (name === 'arrive') return arrive(checksFence && !isBroken, state, Number(subject));
      return canSend(state, index, checksFence, isBroken) ? send(state, index) : state;
    },
  };
}

export const checkedLeaseModel = leaseModel(true);
export const uncheckedLeaseModel = leaseModel(false);
