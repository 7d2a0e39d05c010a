import { request as httpRequest, type Agent } from 'node:http';
import { hostAndPort } from '../../src/adapters/http/HttpClient.js';
import { StructuredLog } from '../../src/adapters/logs/StructuredLog.js';
import { RouterInstance } from '../../src/router/RouterInstance.js';
import { ROUTER_SETTINGS } from '../../src/router/Settings.js';
import { freeAddress } from './Ports.js';

/** A router instance with the addresses at which it listens. */
export interface StartedRouter {
  readonly router: RouterInstance;
  readonly callers: string;
  readonly readiness: string;
  readonly peers: string;
}

/**
 * Starts a router instance of failure domain `a`.
 * @param seeds - addresses of peers
 */
export async function startRouter(
  name: string,
  storeAddress: string,
  seeds: readonly string[],
): Promise<StartedRouter> {
  const callers = await freeAddress();
  const readiness = await freeAddress();
  const peers = await freeAddress();
  const settings = ROUTER_SETTINGS.parse({
    instance: name,
    failureDomain: 'a',
    callers: { address: callers },
    readiness: { address: readiness },
    peers: { address: peers, seeds },
    metrics: { address: await freeAddress() },
    store: { address: storeAddress },
    bounds: {
      drainMs: 2000,
      stopGraceS: 8,
      retryShare: 0.2,
      retrySlack: 196,
      retryWindowS: 10,
    },
  });
  const router = new RouterInstance(settings, new StructuredLog(name, '/dev/null'));
  await router.start();
  return { router, callers, readiness, peers };
}

/** The answer to a request; status 0 if there was none. */
export interface ReceivedStatus {
  readonly status: number;
  readonly isComplete: boolean;
  readonly retryAfter: string | undefined;
  readonly ms: number;
  /** Time of the answer on the monotonic clock, in milliseconds. */
  readonly at: number;
}

/** Sends one request, over a connection of its own unless an agent is given. */
export function sendRequest(
  address: string,
  id: string,
  path: string,
  headers: Readonly<Record<string, string>>,
  body = 'body',
  agent: Agent | false = false,
): Promise<ReceivedStatus> {
  const sentAt = performance.now();
  return new Promise((resolve) => {
    const finish = (status: number, isComplete: boolean, retryAfter?: string): void => {
      const at = performance.now();
      resolve({ status, isComplete, retryAfter, ms: at - sentAt, at });
    };
    const outgoing = httpRequest(
      {
        ...hostAndPort(address),
        method: 'POST',
        path: `${path}1`,
        agent,
        headers: {
          host: 'host',
          authorization: 'Token key-1',
          'x-attempt-id': id,
          'x-deadline-ms': '4000',
          ...headers,
        },
      },
      (message) => {
        const { statusCode = 0 } = message;
        message.resume();
        message.on('end', () =>
          finish(statusCode, message.complete, message.headers['retry-after']),
        );
        message.on('error', () => finish(statusCode, false));
      },
    );
    outgoing.on('error', () => finish(0, false));
    outgoing.end(body);
  });
}
