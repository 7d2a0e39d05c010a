import { RefusalReason } from '../Outcome.js';

/** What callers are told for each reason, with the remedy. */
export const REFUSAL_MESSAGES: Readonly<Partial<Record<RefusalReason, string>>> = {
  [RefusalReason.NoRoute]:
    'No server can accept the request now. Retry after the delay given in Retry-After.',
  [RefusalReason.Overloaded]:
    'The servers are so far behind that the answer would begin too late. Retry after the delay given in Retry-After.',
  [RefusalReason.RoomKept]:
    'The servers keep their remaining room for more urgent requests. Retry after the delay given in Retry-After.',
  [RefusalReason.ServerLost]:
    'The server failed before its answer was complete. Retry only if the request may run twice.',
  [RefusalReason.Quarantined]:
    'Servers crashed under this request, or under others with a part of its prompt. Change it, or retry after the delay given in Retry-After.',
  [RefusalReason.Withdrawn]:
    'Servers crashed under this request, or under others with a part of its prompt, so it was taken back from its server; it may have run. Change it before retrying it.',
  [RefusalReason.AnswerTooLong]:
    'The server sent more than the maximum size of an answer or of an event, and it was discarded. Retry only if the request may run twice; check the server if this repeats.',
  [RefusalReason.DeadlinePassed]:
    'The time limit of the request (route timeout or caller deadline) passed, and it may have run. Retry only if it may run twice.',
  [RefusalReason.DeadlineUnreachable]:
    'No server accepted the request within its time limit (route timeout or caller deadline). Retry it, after the delay in Retry-After if there is one.',
  [RefusalReason.Evicted]:
    'This instance has no memory left for what the request and its answer take, and it may have run. Retry only if it may run twice; add instances or memory if this repeats.',
  [RefusalReason.InternalError]:
    'An unexpected error ended the request, and it may have run. Retry only if it may run twice; report the error to the operators if this repeats.',
};
