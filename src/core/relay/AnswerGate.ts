/**
 * Decides whether a server's answer may be passed on to the caller. Every relay asks this before it writes
 * anything of an answer.
 */
import type { AnswerHead } from './Types.js';

/** What an answer to a request would have to keep to. */
export enum RepeatPolicy {
  /** A call that may run more than once. */
  RepeatableCall = 'repeatable-call',
  /** A call that may run once. */
  SingleCall = 'single-call',
  /** A stream that may be resumed, without any event so far. */
  RepeatableStream = 'repeatable-stream',
  /** A stream that may run once. */
  SingleStream = 'single-stream',
  /** A stream whose caller already has events of an earlier send. */
  ResumedStream = 'resumed-stream',
}

export enum AnswerVerdict {
  /** The answer is passed on once it is complete. */
  Forward = 'forward',
  /** The events of the answer are passed on as they arrive. */
  ForwardEvents = 'forward-events',
  /** The server failed; its answer is passed on only if no other server gives a better one. */
  ForwardIfLast = 'forward-if-last',
  /** The server states that it did not run the request. */
  NotRun = 'not-run',
  /** The answer must not reach the caller. The request may have run. */
  Discard = 'discard',
}

/** Why an answer must not reach its caller. */
export enum DiscardReason {
  /** Its status or headers cannot be sent. */
  Unsendable = 'unsendable-head',
  /** It is not signed, or its body is encoded, so that it may not be the server's own. */
  Unverified = 'unverified',
  /** It cannot follow the events that the caller already has. */
  NotResumed = 'not-resumed',
  /** Its status would tell the caller that nothing ran, which the server does not state. */
  FalsePromise = 'false-promise',
}

export interface AnswerJudgement {
  readonly verdict: AnswerVerdict;
  /** Set if the answer is discarded. */
  readonly reason?: DiscardReason;
}

/** Status of an answer that begins an event stream. */
const STREAM_STATUS = 200;

/** Lowest HTTP status that reports a failure of the server itself; another server may succeed. */
export const FIRST_FAILURE_STATUS = 500;

/** Statuses that tell callers that their request has not run and never will. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

const SINGLE: ReadonlySet<RepeatPolicy> = new Set([
  RepeatPolicy.SingleCall,
  RepeatPolicy.SingleStream,
]);

const STREAMS: ReadonlySet<RepeatPolicy> = new Set([
  RepeatPolicy.RepeatableStream,
  RepeatPolicy.SingleStream,
  RepeatPolicy.ResumedStream,
]);

interface GateRule extends AnswerJudgement {
  applies(head: AnswerHead, policy: RepeatPolicy): boolean;
}

/** The rules in order; the first one that applies decides. */
const RULES: readonly GateRule[] = [
  // A head that HTTP does not allow is no answer, so that it does not state that nothing ran, either.
  {
    verdict: AnswerVerdict.Discard,
    reason: DiscardReason.Unsendable,
    applies: (head) => !head.sendable,
  },
  { verdict: AnswerVerdict.NotRun, applies: (head) => head.notExecuted },
  {
    verdict: AnswerVerdict.Discard,
    reason: DiscardReason.Unverified,
    applies: (head) => !head.signed || !head.identityEncoded,
  },
  {
    verdict: AnswerVerdict.ForwardEvents,
    applies: (head, policy) => STREAMS.has(policy) && head.status === STREAM_STATUS,
  },
  // The caller has the head of a success; no other answer can follow it.
  {
    verdict: AnswerVerdict.Discard,
    reason: DiscardReason.NotResumed,
    applies: (_head, policy) => policy === RepeatPolicy.ResumedStream,
  },
  // Without the server's statement the request may have run, and its caller would send it again.
  {
    verdict: AnswerVerdict.Discard,
    reason: DiscardReason.FalsePromise,
    applies: (head, policy) => SINGLE.has(policy) && NOT_RUN_STATUSES.has(head.status),
  },
  {
    verdict: AnswerVerdict.ForwardIfLast,
    applies: (head, policy) =>
      policy === RepeatPolicy.RepeatableCall && head.status >= FIRST_FAILURE_STATUS,
  },
  { verdict: AnswerVerdict.Forward, applies: () => true },
];

/**
 * Judges an answer by its head.
 * @param head - status and headers of the answer
 * @param policy - whether the request may run again, and what its caller already has
 * @returns what may be done with the answer
 */
export function judgeAnswer(head: AnswerHead, policy: RepeatPolicy): AnswerJudgement {
  for (const rule of RULES) if (rule.applies(head, policy)) return rule;
  return { verdict: AnswerVerdict.Discard, reason: DiscardReason.Unverified };
}
