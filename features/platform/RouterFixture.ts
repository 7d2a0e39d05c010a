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
