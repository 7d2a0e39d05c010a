/** Explicit-state model checker: explores every state of a small model and checks its invariants. */
import { fromTransition, type EventObject } from 'xstate';
import { getAdjacencyMap } from 'xstate/graph';

/** An event of a model; its type names the action, mostly followed by its subject. */
export interface ModelEvent extends EventObject {
  readonly type: string;
}

/** A small specification of one protocol. */
export interface Model<S> {
  readonly name: string;
  /** What is wrong in the broken variant, which the checker must detect. */
  readonly defect: string;
  readonly initial: S;
  /** Invariants by name; each returns whether it holds in a state. */
  readonly invariants: Readonly<Record<string, (state: S) => boolean>>;
  /** Returns the events that can happen in a state. */
  enabled(state: S): readonly string[];
  /**
   * Returns the state after an event.
   * @param isBroken - whether to apply the defect of the broken variant
   */
  next(state: S, event: string, isBroken: boolean): S;
}

/** Result of checking a model. */
export interface ModelCheck {
  readonly model: string;
  readonly stateCount: number;
  readonly invariantCount: number;
  /**
   * Violated invariants of the correct variant, of each state only the first; empty when all hold.
   */
  readonly violated: readonly string[];
  /** Shortest sequence of events to a violation in the broken variant; empty when none was found. */
  readonly counterexample: readonly string[];
}

/**
 * Maximum number of transitions; an exploration that takes more is incomplete and fails. The search for a
 * counterexample queues no further states after this many.
 */
export const TRANSITION_LIMIT = 1_000_000;

function traversalOptions<S>(model: Model<S>) {
  return {
    events: (snapshot: { context: S }) =>
      model.enabled(snapshot.context).map((type): ModelEvent => ({ type })),
    serializeState: (snapshot: { context: S }) => JSON.stringify(snapshot.context),
    limit: TRANSITION_LIMIT,
  };
}

function transitionLogic<S extends object>(model: Model<S>) {
  return fromTransition(
    (state: S, event: ModelEvent) => model.next(state, event.type, false),
    model.initial,
  );
}

function firstViolated<S>(model: Model<S>, state: S): string | undefined {
  for (const [name, holds] of Object.entries(model.invariants)) if (!holds(state)) return name;
  return undefined;
}

interface Trace {
  readonly event: string;
  readonly before: Trace | undefined;
}

function eventsOf(trace: Trace | undefined): string[] {
  const events: string[] = [];
  for (let at = trace; at !== undefined; at = at.before) events.unshift(at.event);
  return events;
}

/**
 * Searches the broken variant breadth-first and stops at the first violation. XState's
 * `getShortestPaths` would explore all states before any is checked, which takes minutes.
 */
function shortestCounterexample<S>(model: Model<S>): string[] {
  const seen = new Set<string>([JSON.stringify(model.initial)]);
  const queue: { state: S; trace: Trace | undefined }[] = [
    { state: model.initial, trace: undefined },
  ];
  for (const { state, trace } of queue) {
    for (const event of model.enabled(state)) {
      const next = model.next(state, event, true);
      const key = JSON.stringify(next);
      if (seen.has(key)) continue;
      seen.add(key);
      const extendedTrace = { event, before: trace };
      if (firstViolated(model, next) !== undefined) return eventsOf(extendedTrace);
      if (seen.size < TRANSITION_LIMIT) queue.push({ state: next, trace: extendedTrace });
    }
  }
  return [];
}

/**
 * Explores a model completely, then searches for the shortest counterexample of its broken variant.
 * @throws Error when the exploration exceeds `TRANSITION_LIMIT`
 */
export function checkModel<S extends object>(model: Model<S>): ModelCheck {
  const traversal = traversalOptions(model);
  const states = Object.values(getAdjacencyMap(transitionLogic(model), traversal as never));
  const violated = new Set<string>();
  for (const { state } of states) {
    const name = firstViolated(model, (state as unknown as { context: S }).context);
    if (name !== undefined) violated.add(name);
  }
  return {
    model: model.name,
    stateCount: states.length,
    invariantCount: Object.keys(model.invariants).length,
    violated: [...violated],
    counterexample: shortestCounterexample(model),
  };
}
