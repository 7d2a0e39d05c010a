/** Refusals without a relay. */
import { Outcome, refusal, RefusalReason } from '../core/Outcome.js';

export const BODY_TOO_LARGE = refusal(
  Outcome.NotRun,
  RefusalReason.BodyTooLarge,
  'The body is larger than the limit of the configuration. Send a smaller one.',
);

export const INVALID_HEADERS = refusal(
  Outcome.NotRun,
  RefusalReason.BadRequest,
  'The name or the value of a header has characters that HTTP does not allow, so that it cannot be sent on. Send valid headers.',
);

export const UNEXPECTED_ERROR = refusal(
  Outcome.NotRun,
  RefusalReason.NotReady,
  'An unexpected error ended the request before it was sent to a server. Retry it; report the error to the operators if this repeats.',
);

export const MEMORY_EXHAUSTED = refusal(
  Outcome.NotRun,
  RefusalReason.MemoryExhausted,
  'This instance has no memory left for the body of the request. Retry after the delay given in Retry-After.',
);

export const PROCESSOR_EXHAUSTED = refusal(
  Outcome.NotRun,
  RefusalReason.ProcessorExhausted,
  'This instance has no processor time left to read the body of the request. Send it in larger chunks, or retry after the delay given in Retry-After.',
);

/** No server has received the request. */
export const STOPPED_BEFORE_SEND = refusal(
  Outcome.NotRun,
  RefusalReason.Stopping,
  'This instance shut down before it passed the request on. Retry the request at another instance.',
);

export const STOPPED_BEFORE_ANSWER = refusal(
  Outcome.Unknown,
  RefusalReason.InstanceStopped,
  'This instance shut down before the answer was complete, and the request may have run. Retry only if it may run twice; lengthen the grace period of stops if this repeats.',
);
