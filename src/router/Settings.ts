import { z } from 'zod';

const ADDRESS = z
  .string()
  .regex(
    /^\d{1,3}(?:\.\d{1,3}){3}:\d{1,5}$/,
    'must be an IPv4 address and a port, such as 10.0.0.7:8080',
  );

const MS = z.number().nonnegative();

/** Settings of a router instance. Unknown fields are ignored, so that files for newer versions also work. */
export const ROUTER_SETTINGS = z.object({
  instance: z.string().min(1),
  failureDomain: z.string().min(1),
  callers: z.object({ address: ADDRESS }),
  readiness: z.object({ address: ADDRESS }),
  peers: z.object({
    address: ADDRESS,
    /** Addresses of a few instances from which this one learns about the fleet when it starts. */
    seeds: z.array(ADDRESS).default([]),
  }),
  metrics: z.object({ address: ADDRESS }),
  store: z.object({ address: ADDRESS }),
  /**
   * Whether the whole fleet starts for the first time, so that the store has never held anything of it. If not,
   * a store that states its era may have come back from a copy without the rows of its leases.
   */
  isFirstStart: z.boolean().default(false),
  /**
   * What the machine can carry. A limit of memory or descriptors that is not stated is that of the smallest machines
   * in use, so that no bound is ever open.
   */
  machine: z
    .object({
      /** Processor time that the process gets, as a fraction of one core. */
      processorShare: z.number().positive().optional(),
      /** Speed of a core; 1 is usual. */
      processorSpeed: z.number().positive().default(1),
      /** Memory at which the process is killed, in megabytes. */
      memoryMb: z.number().positive().default(250),
      /** Descriptors that the process may have open, files among them. */
      descriptors: z.number().int().positive().default(4100),
      /** Bandwidth of the machine's link, in megabits per second. */
      linkMbps: z.number().positive().optional(),
    })
    .prefault({}),
  bounds: z.object({
    /** Time that a leaving server has to finish its requests, in milliseconds. */
    drainMs: MS,
    /** Time between the stop signal and the forced end of the process, in seconds. */
    stopGraceS: z.number().positive(),
    /** Retries allowed per request to a service, over all instances. */
    retryShare: z.number().nonnegative(),
    /** Retries allowed in each window in addition to that share, over all instances. */
    retrySlack: z.number().nonnegative(),
    /** Length of the sliding window in which retries are counted, in seconds. */
    retryWindowS: z.number().positive(),
  }),
});

export type RouterSettings = z.output<typeof ROUTER_SETTINGS>;
