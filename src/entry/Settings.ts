/** Settings of the entry instance, the fake platform and the fake backend server. */
import { z } from 'zod';

const ADDRESS = z
  .string()
  .regex(
    /^(?:\d{1,3}(?:\.\d{1,3}){3}|\[[0-9a-f:]+\]):\d{1,5}$/,
    'must be an IP address and a port, such as 10.0.0.7:8080',
  );
const NAME = z
  .string()
  .regex(/^[a-z0-9][a-z0-9.-]{0,62}$/, 'must be 1 to 63 characters of a-z, 0-9, dot and dash');
const SECRET = z.string().min(16, 'must have at least 16 characters');

/** Settings of an entry instance. */
export const ENTRY_SETTINGS = z.strictObject({
  instance: NAME,
  failureDomain: NAME,
  /** Listener for callers. */
  callers: z.strictObject({
    address: ADDRESS,
    maxBodyBytes: z.number().int().positive().default(1_048_576),
  }),
  /** Listener for operators, and the bearer token that they send. */
  operators: z.strictObject({ address: ADDRESS, token: SECRET }),
  /** Listener for other entry instances, and the secret that all of them share. */
  peers: z.strictObject({ address: ADDRESS, secret: SECRET }),
  platform: z.strictObject({ address: ADDRESS }),
  stop: z
    .strictObject({
      /** Time for the load balancer to notice that the instance is not ready, in milliseconds. */
      balancerMs: z.number().int().nonnegative().default(2000),
    })
    .default({ balancerMs: 2000 }),
});

export type EntrySettings = z.output<typeof ENTRY_SETTINGS>;

/** Settings of the fake platform. */
export const PLATFORM_SETTINGS = z.strictObject({
  address: ADDRESS,
  instances: z
    .array(
      z.strictObject({
        name: NAME,
        address: ADDRESS,
        failureDomain: NAME,
        leaving: z.boolean().default(false),
      }),
    )
    .default([]),
});

export type PlatformSettings = z.output<typeof PLATFORM_SETTINGS>;

/** Settings of a fake backend server. */
export const BACKEND_SETTINGS = z.strictObject({
  name: NAME,
  address: ADDRESS,
  /** Time of one layer for one token, in milliseconds. */
  layerMs: z.number().positive().default(0.05),
  /** Fixed cost of a step, in milliseconds. */
  stepMs: z.number().nonnegative().default(1),
  /** Whether the server rejects an order with an old fencing number. */
  checksFence: z.boolean().default(true),
  /** Time to load layers, in milliseconds. */
  loadMs: z.number().nonnegative().default(500),
});

export type BackendSettings = z.output<typeof BACKEND_SETTINGS>;
