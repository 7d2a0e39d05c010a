/** How each kind of fault begins and ends. */
import { LEASE_MS } from '../../core/leases/LeaseKeeper.js';
import { InvariantKind } from '../../core/Invariant.js';
import type { PlatformFaultCounts } from './FaultyPlatform.js';
import { PLATFORM } from './Network.js';
import type { SoakServer } from './SoakServer.js';
import type { Operators } from './Operators.js';
import { DOMAINS, type SoakInstance, type SoakEnvironment } from './SoakEnvironment.js';
import { FaultKind, type Fault } from './Types.js';

type End = () => void;
type Begin = (fault: Fault, world: SoakEnvironment, operators: Operators) => End | undefined;

const SLOWNESS = 10;
/** A wide outage lasts longer than a request waits for a route. */
const OUTAGE_EXTRA_MS = 12_000;
const UNLOAD_EVERY_MS = 900;
const FLAKINESS = 0.5;
const DRAIN_LIMIT_MS = 60_000;

const pickServer = (fault: Fault, world: SoakEnvironment) =>
  world.servers[fault.target % world.servers.length];

const pickInstance = (fault: Fault, world: SoakEnvironment): SoakInstance =>
  world.instances[fault.target % world.instances.length];

const pickDomain = (fault: Fault, step = 0): string =>
  DOMAINS[(fault.target + step) % DOMAINS.length];

/** A platform trouble that counts up and down. */
function trouble(name: keyof PlatformFaultCounts): Begin {
  return (_fault, world) => {
    const { activeFaults: troubles } = world.platform;
    troubles[name] += 1;
    return () => {
      troubles[name] -= 1;
    };
  };
}

function cut(from: (fault: Fault) => string, to: (fault: Fault) => string): Begin {
  return (fault, world) => {
    world.network.cut(from(fault), to(fault));
    return () => world.network.restore(from(fault), to(fault));
  };
}

/** Stops an instance as planned and starts another in its place; nothing may be cut. */
async function stopInstance(instance: SoakInstance, world: SoakEnvironment): Promise<void> {
  const deadline = world.clock.now() + DRAIN_LIMIT_MS;
  const limit = world.clock.sleep(DRAIN_LIMIT_MS);
  await Promise.race([instance.core.drain(), limit]);
  if (!instance.host.alive) return;
  const inTime = world.clock.now() < deadline;
  if (inTime) {
    world.invariants.check(
      InvariantKind.StopCutsNothing,
      instance.core.openWorkCount === 0,
      () => `${instance.host.name} stopped with ${instance.core.openWorkCount} requests open`,
    );
  }
  world.removeInstance(instance);
  world.addInstance(instance.host.failureDomain);
}

function crash(servers: readonly SoakServer[]): End {
  for (const server of servers) server.crash();
  return () => {
    for (const server of servers) server.restart();
  };
}

/** Makes servers that do not check fencing numbers need orders all the time. */
function unloadRepeatedly(fault: Fault, world: SoakEnvironment): End {
  const end = world.clock.now() + fault.durationMs;
  const unload = () => {
    for (const server of world.servers) {
      if (!server.checksFence && server.alive) server.sequences.loaded = [];
    }
    if (world.clock.now() < end) world.clock.schedule(UNLOAD_EVERY_MS, unload);
  };
  unload();
  return () => {};
}

export const FAULTS: Readonly<Record<FaultKind, Begin>> = {
  [FaultKind.ServerCrash]: (fault, world) => {
    const server = pickServer(fault, world);
    server.crash();
    return () => server.restart();
  },
  [FaultKind.DomainCrash]: (fault, world) => {
    const hit = world.servers.filter((server) => server.failureDomain === pickDomain(fault));
    return crash(hit);
  },
  [FaultKind.WideOutage]: (fault, world) => {
    const restart = crash(world.servers);
    world.clock.schedule(fault.durationMs + OUTAGE_EXTRA_MS, restart);
    return () => {};
  },
  [FaultKind.ServersUnload]: (fault, world) => unloadRepeatedly(fault, world),
  [FaultKind.ServerFreeze]: (fault, world) => {
    pickServer(fault, world).freeze(fault.durationMs);
    return () => {};
  },
  [FaultKind.LinkDegrade]: (fault, world) => {
    const server = pickServer(fault, world);
    server.slowdownFactor = SLOWNESS;
    return () => {
      server.slowdownFactor = 1;
    };
  },
  [FaultKind.ServerLeaves]: (fault, world) => {
    const server = pickServer(fault, world);
    server.sequences.leaving = true;
    return () => {
      server.sequences.leaving = false;
    };
  },
  [FaultKind.TicketDrain]: (fault, world, operators) => {
    operators.drain(pickServer(fault, world), fault.durationMs);
    return undefined;
  },
  [FaultKind.PlainFlaky]: (fault, world) => {
    const plain = world.servers.filter((server) => server.ranges.length === 0);
    const server = plain[fault.target % plain.length];
    server.resetProbability = FLAKINESS;
    return () => {
      server.resetProbability = 0;
    };
  },
  [FaultKind.InstanceCrash]: (fault, world) => {
    const instance = pickInstance(fault, world);
    world.removeInstance(instance);
    return () => {
      world.addInstance(instance.host.failureDomain);
    };
  },
  [FaultKind.InstancePause]: (fault, world) => {
    pickInstance(fault, world).host.pause(fault.durationMs);
    return () => {};
  },
  [FaultKind.LeaseHolderPause]: (fault, world) => {
    const holders = world.instances.filter(({ core }) => core.lease.heldFence > 0);
    if (holders.length > 0)
      holders[fault.target % holders.length].host.pause(fault.durationMs + LEASE_MS);
    return unloadRepeatedly({ ...fault, durationMs: fault.durationMs + LEASE_MS }, world);
  },
  [FaultKind.InstanceStop]: (fault, world) => {
    stopInstance(pickInstance(fault, world), world);
    return undefined;
  },
  [FaultKind.StoreDown]: trouble('down'),
  [FaultKind.StoreSlow]: trouble('slow'),
  [FaultKind.StoreLosesAnswers]: trouble('losesAnswers'),
  [FaultKind.StoreLateWrites]: trouble('lateWrites'),
  [FaultKind.StoreStaleReads]: trouble('staleReads'),
  [FaultKind.CutFromPlatform]: cut(
    (fault) => pickDomain(fault),
    () => PLATFORM,
  ),
  [FaultKind.DomainsCut]: cut(
    (fault) => pickDomain(fault),
    (fault) => pickDomain(fault, 1),
  ),
  [FaultKind.OperatorRace]: (fault, _world, operators) => {
    operators.race(fault.target);
    return undefined;
  },
  [FaultKind.ListLag]: (_fault, world) => {
    const { platform } = world;
    platform.staleInstanceList = [...platform.memory.instances.values()];
    return () => {
      platform.staleInstanceList = undefined;
    };
  },
};

/** Faults after which the bound on leaving servers still holds at once. */
const CALM: ReadonlySet<FaultKind> = new Set([FaultKind.TicketDrain, FaultKind.OperatorRace]);

/** Schedules a fault. */
export function scheduleFault(fault: Fault, world: SoakEnvironment, operators: Operators): void {
  world.clock.schedule(fault.at - world.clock.now(), () => {
    if (world.instances.length === 0) return;
    const disturbs = !CALM.has(fault.kind);
    if (disturbs) world.recordDisturbance(true);
    const end = FAULTS[fault.kind](fault, world, operators);
    world.clock.schedule(fault.durationMs, () => {
      end?.();
      if (disturbs) world.recordDisturbance(false);
    });
  });
}
