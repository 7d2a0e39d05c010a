import type { ServerCall, ServerCallListener } from '../../src/core/relay/Types.js';
import { OpenCall } from '../../src/platform/OpenCall.js';
import { ServerAgent } from '../../src/platform/ServerAgent.js';

/** Id of the request of every opened call. */
export const CALL_ID = 'id-1';

const NO_NOTICES = { handleNotice: () => undefined, processOf: () => undefined };

/** Calls a plain server as a router does. */
export function openCall(
  address: string,
  method: string,
  body: Buffer,
  listener: ServerCallListener,
  agent = new ServerAgent(),
): OpenCall {
  const message = { method, target: '/', headers: ['x-attempt-id', CALL_ID], body };
  const call = {
    request: { id: CALL_ID, message },
    server: { id: 'plain-0', address },
    stages: [],
    deadlineMs: 1000,
  } as unknown as ServerCall;
  return new OpenCall(call, listener, agent, NO_NOTICES, () => undefined);
}
