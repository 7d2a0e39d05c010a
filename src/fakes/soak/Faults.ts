/** Begin and end of each kind of fault in the soak runs. */
import { LEASE_MS } from '../../core/leases/LeaseKeeper.js';
import { InvariantKind } from '../../core/Invariant.js';
import type { PlatformFaultCounts } from './FaultyPlatform.js';
import { PLATFORM } from './Network.js';
import type { SoakServer } from './SoakServer.js';
import type { Operators } from './Operators.js';
import { DOMAINS, type SoakInstance, type SoakEnvironment } from './SoakEnvironment.js';
import { FaultKind, type Fault } from './Types.js';

type EndFault = () => void;
type BeginFault = (
  fault: Fault,
  environment: SoakEnvironment,
  operators: Operators,
) => EndFault | undefined;

const SLOWDOWN_FACTOR = 10;

/**
 * Extra duration of a wide outage, in milliseconds. With a fault of over 3 s, the outage lasts longer
 * than the 15 s for which a request waits for a route, so that waiting requests give up.
 */
const EXTRA_OUTAGE_MS = 12_000;
const UNLOAD_INTERVAL_MS = 900;
const RESET_PROBABILITY = 0.5;
const DRAIN_LIMIT_MS = 60_000;

const pickServer = (fault: Fault, environment: SoakEnvironment) =>
  environment.servers[fault.target % environment.servers.length];

const pickInstance = (fault: Fault, environment: SoakEnvironment): SoakInstance =>
  environment.instances[fault.target % environment.instances.length];

const pickDomain = (fault: Fault, step = 0): string =>
  DOMAINS[(fault.target + step) % DOMAINS.length];

/** A fault of the platform; faults of the same kind may overlap, so active ones are counted. */
function platformFault(name: keyof PlatformFaultCounts): BeginFault {
  return (_fault, environment) => {
    const { activeFaults } = environment.platform;
    activeFaults[name] += 1;
    return () => {
      activeFaults[name] -= 1;
    };
  };
}

function cutBetween(from: (fault: Fault) => string, to: (fault: Fault) => string): BeginFault {
  return (fault, environment) => {
    environment.network.cut(from(fault), to(fault));
    return () => environment.network.restore(from(fault), to(fault));
  };
}

/** Drains an instance and starts another in its place; the drain must not cut off a request. */
async function stopInstance(instance: SoakInstance, environment: SoakEnvironment): Promise<void> {
  const deadline = environment.clock.now() + DRAIN_LIMIT_MS;
  const limit = environment.clock.sleep(DRAIN_LIMIT_MS);
  await Promise.race([instance.core.drain(), limit]);
  if (!instance.host.alive) return;
  const inTime = environment.clock.now() < deadline;
  if (inTime) {
    environment.invariants.check(
      InvariantKind.StopCutsNothing,
      instance.core.openWorkCount === 0,
      () => `${instance.host.name} stopped with ${instance.core.openWorkCount} requests open`,
    );
  }
  environment.removeInstance(instance);
  environment.addInstance(instance.host.failureDomain);
}

function crashServers(servers: readonly SoakServer[]): EndFault {
  for (const server of servers) server.crash();
  return () => {
    for (const server of servers) server.restart();
  };
}

/** Keeps unloading the servers that do not check fencing numbers, so that they always need orders. */
function unloadRepeatedly(fault: Fault, environment: SoakEnvironment): EndFault {
  const end = environment.clock.now() + fault.durationMs;
  const unload = () => {
    for (const server of environment.servers) {
      if (!server.checksFence && server.alive) server.sequences.loaded = [];
    }
    if (environment.clock.now() < end) environment.clock.schedule(UNLOAD_INTERVAL_MS, unload);
  };
  unload();
  return () => {};
}

export const FAULTS: Readonly<Record<FaultKind, BeginFault>> = {
  [FaultKind.ServerCrash]: (fault, environment) => {
    const server = pickServer(fault, environment);
    server.crash();
    return () => server.restart();
  },
  [FaultKind.DomainCrash]: (fault, environment) => {
    const servers = environment.servers.filter(
      (server) => server.failureDomain === pickDomain(fault),
    );
    return crashServers(servers);
  },
  [FaultKind.WideOutage]: (fault, environment) => {
    const restart = crashServers(environment.servers);
    environment.clock.schedule(fault.durationMs + EXTRA_OUTAGE_MS, restart);
    return () => {};
  },
  [FaultKind.ServersUnload]: (fault, environment) => unloadRepeatedly(fault, environment),
  [FaultKind.ServerFreeze]: (fault, environment) => {
    pickServer(fault, environment).freeze(fault.durationMs);
    return () => {};
  },
  [FaultKind.LinkDegrade]: (fault, environment) => {
    const server = pickServer(fault, environment);
    server.slowdownFactor = SLOWDOWN_FACTOR;
    return () => {
      server.slowdownFactor = 1;
    };
  },
  [FaultKind.ServerLeaves]: (fault, environment) => {
    const server = pickServer(fault, environment);
    server.sequences.leaving = true;
    return () => {
      server.sequences.leaving = false;
    };
  },
  [FaultKind.TicketDrain]: (fault, environment, operators) => {
    operators.drain(pickServer(fault, environment), fault.durationMs);
    return undefined;
  },
  [FaultKind.PlainFlaky]: (fault, environment) => {
    const plain = environment.servers.filter((server) => server.ranges.length === 0);
    const server = plain[fault.target % plain.length];
    server.resetProbability = RESET_PROBABILITY;
    return () => {
      server.resetProbability = 0;
    };
  },
  [FaultKind.InstanceCrash]: (fault, environment) => {
    const instance = pickInstance(fault, environment);
    environment.removeInstance(instance);
    return () => {
      environment.addInstance(instance.host.failureDomain);
    };
  },
  [FaultKind.InstancePause]: (fault, environment) => {
    pickInstance(fault, environment).host.pause(fault.durationMs);
    return () => {};
  },
  [FaultKind.LeaseHolderPause]: (fault, environment) => {
    const holders = environment.instances.filter(({ core }) => core.lease.heldFence > 0);
    if (holders.length > 0)
      holders[fault.target % holders.length].host.pause(fault.durationMs + LEASE_MS);
    return unloadRepeatedly({ ...fault, durationMs: fault.durationMs + LEASE_MS }, environment);
  },
  [FaultKind.InstanceStop]: (fault, environment) => {
    stopInstance(pickInstance(fault, environment), environment);
    return undefined;
  },
  [FaultKind.StoreDown]: platformFault('down'),
  [FaultKind.StoreSlow]: platformFault('slow'),
  [FaultKind.StoreLosesAnswers]: platformFault('losesAnswers'),
  [FaultKind.StoreLateWrites]: platformFault('lateWrites'),
  [FaultKind.StoreStaleReads]: platformFault('staleReads'),
  [FaultKind.CutFromPlatform]: cutBetween(
    (fault) => pickDomain(fault),
    () => PLATFORM,
  ),
  [FaultKind.DomainsCut]: cutBetween(
    (fault) => pickDomain(fault),
    (fault) => pickDomain(fault, 1),
  ),
  [FaultKind.OperatorRace]: (fault, _environment, operators) => {
    operators.race(fault.target);
    return undefined;
  },
  [FaultKind.ListLag]: (_fault, environment) => {
    const { platform } = environment;
    platform.staleInstanceList = [...platform.memory.instances.values()];
    return () => {
      platform.staleInstanceList = undefined;
    };
  },
};

/** Kinds during which a drained server must still stop getting new requests in time. */
const OPERATOR_ACTIONS: ReadonlySet<FaultKind> = new Set([
  FaultKind.TicketDrain,
  FaultKind.OperatorRace,
]);

/**
 * Schedules the begin and the end of a fault, and records it as a disturbance unless it is an operator
 * action.
 */
export function scheduleFault(
  fault: Fault,
  environment: SoakEnvironment,
  operators: Operators,
): void {
  environment.clock.schedule(fault.at - environment.clock.now(), () => {
    if (environment.instances.length === 0) return;
    const disturbs = !OPERATOR_ACTIONS.has(fault.kind);
    if (disturbs) environment.recordDisturbance(true);
    const end = FAULTS[fault.kind](fault, environment, operators);
    environment.clock.schedule(fault.durationMs, () => {
      end?.();
      if (disturbs) environment.recordDisturbance(false);
    });
  });
}
