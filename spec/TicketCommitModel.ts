/** Models three operators that race to change one object; writes may be late and answers lost. */
import type { Model } from './Checker.js';

enum Phase {
  Start = 'start',
  /** The write was sent and its answer is awaited. */
  Sent = 'sent',
  /** The answer was lost, or the last attempt was not applied; the submission row is being settled. */
  Settling = 'settling',
  Accepted = 'accepted',
  Refused = 'refused',
}

interface Operator {
  readonly phase: Phase;
  /**
   * Head that the last write expects, -1 before the first write. The write also expects that no ticket
   * has changed the object.
   */
  readonly expectedHead: number;
  /** Whether the write may still be applied. */
  readonly isPending: boolean;
  /** Submission row: 0 absent, -1 cancelled, else the ticket number. */
  readonly submission: number;
  /** Remaining attempts, each with a new ticket number. */
  readonly attempts: number;
}

interface State {
  readonly head: number;
  /** Number of the ticket that last changed the object; 0 when none has. */
  readonly object: number;
  readonly operators: readonly Operator[];
}

const OPERATORS = ['a', 'b', 'c'];
const initialOperator: Operator = {
  phase: Phase.Start,
  expectedHead: -1,
  isPending: false,
  submission: 0,
  attempts: 2,
};

function updateOperator(state: State, index: number, patch: Partial<Operator>): State {
  const operators = state.operators.map((operator, at) =>
    at === index ? { ...operator, ...patch } : operator,
  );
  return { ...state, operators };
}

/**
 * Applies the transaction if the head has not moved, the object is unchanged and the submission row
 * is absent.
 */
function applyWrite(state: State, index: number): State {
  const operator = state.operators[index];
  const done = updateOperator(state, index, { isPending: false });
  const holds =
    state.head === operator.expectedHead && state.object === 0 && operator.submission === 0;
  if (!holds) return done;
  const number = state.head + 1;
  return {
    ...updateOperator(done, index, { submission: number }),
    head: number,
    object: number,
  };
}

type Transition = (state: State, index: number, isBroken: boolean) => State;

const TRANSITIONS: Readonly<Record<string, Transition>> = {
  sendWrite: (state, index) => {
    const { attempts } = state.operators[index];
    if (state.object !== 0) return updateOperator(state, index, { phase: Phase.Refused });
    return updateOperator(state, index, {
      phase: Phase.Sent,
      expectedHead: state.head,
      isPending: true,
      attempts: attempts - 1,
    });
  },
  applyWrite,
  receiveAnswer: (state, index) => {
    const { submission, attempts } = state.operators[index];
    if (submission > 0) return updateOperator(state, index, { phase: Phase.Accepted });
    return updateOperator(state, index, { phase: attempts > 0 ? Phase.Start : Phase.Settling });
  },
  loseAnswer: (state, index) => updateOperator(state, index, { phase: Phase.Settling }),
  settle: (state, index, isBroken) => {
    const { submission } = state.operators[index];
    if (submission > 0) return updateOperator(state, index, { phase: Phase.Accepted });
    if (isBroken) return updateOperator(state, index, { phase: Phase.Refused });
    return updateOperator(state, index, { phase: Phase.Refused, submission: -1 });
  },
};

const ENABLED: Readonly<Record<Phase, (operator: Operator) => readonly string[]>> = {
  [Phase.Start]: () => ['sendWrite'],
  [Phase.Sent]: ({ isPending }) => (isPending ? ['loseAnswer'] : ['receiveAnswer', 'loseAnswer']),
  [Phase.Settling]: () => ['settle'],
  [Phase.Accepted]: () => [],
  [Phase.Refused]: () => [],
};

export const ticketCommitModel: Model<State> = {
  name: 'ticket commit',
  defect: 'a write with a lost answer is reported as refused without cancelling its submission',
  initial: { head: 0, object: 0, operators: OPERATORS.map(() => initialOperator) },
  invariants: {
    'at most one ticket changes the object': ({ operators }) =>
      operators.filter(({ submission }) => submission > 0).length <= 1,
    'an accepted ticket was committed': ({ operators }) =>
      operators.every(({ phase, submission }) => phase !== Phase.Accepted || submission > 0),
    'a refused ticket is never committed': ({ operators }) =>
      operators.every(({ phase, submission }) => phase !== Phase.Refused || submission <= 0),
    'the head is the ticket that last changed the object': ({ head, object }) => head === object,
  },
  enabled: (state) =>
    state.operators.flatMap((operator, index) => {
      const names = [
        ...ENABLED[operator.phase](operator),
        ...(operator.isPending ? ['applyWrite'] : []),
      ];
      return names.map((name) => `${name} ${OPERATORS[index]}`);
    }),
  next: (state, event, isBroken) => {
    const [name, operator] = event.split(' ');
    return TRANSITIONS[name](state, OPERATORS.indexOf(operator), isBroken);
  },
};
