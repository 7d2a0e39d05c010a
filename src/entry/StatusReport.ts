import type { InstanceStatus, Status } from '../adapters/http/OperatorServer.js';
import type { EntryCore } from '../core/EntryCore.js';
import { ServerMark } from '../core/membership/ServerHealth.js';
import { ObjectKind } from '../core/tickets/Types.js';

const LIVE = 'live';

/** Reports the status of the whole fleet, as far as one instance knows it. */
export function statusOf(core: EntryCore, now: number): Status {
  const self = core.gossip.state();
  const { instance, failureDomain, applied, ready, leaving } = self;
  const own: InstanceStatus = { instance, failureDomain, applied, ready, leaving, heardMsAgo: 0 };
  const others = [...core.peers.all()].map((peer) => ({
    instance: peer.name,
    failureDomain: peer.failureDomain,
    applied: peer.state?.applied ?? 0,
    ready: peer.state?.ready ?? false,
    leaving: peer.leaving,
    // -1: no exchange yet
    heardMsAgo: peer.lastExchangeAt === -Infinity ? -1 : Math.round(now - peer.lastExchangeAt),
  }));
  const servers = core.configuration.list(ObjectKind.BackendServer).map(({ name, state }) => ({
    server: name,
    failureDomain: state.failureDomain,
    mark: state.leaving ? ServerMark.Leaving : (core.health.markOf(name, now) ?? LIVE),
    busyMs: Math.round(core.load.busyMs(name, now) * 100) / 100,
  }));
  return {
    instance,
    ticket: applied,
    instances: [own, ...others],
    isInstanceListKnown: core.gossip.isInstanceListKnown,
    servers,
    queues: core.completions.queueLengths(),
  };
}
