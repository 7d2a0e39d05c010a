/** Keeps the servers of each service in the form that route searches need, until any server changes. */
import type { ServerDirectory } from '../deployment/ServerDirectory.js';
import type { BackendServer, EngineProfile, LayerSpan, Service } from '../deployment/Types.js';
import { profileServer, type ServerProfile } from './ServerTime.js';
import type { Candidate } from './Types.js';
import type { EstimatedServer } from './UnreportedWork.js';

/** The servers of a service as route searches see them; replaced when any server changes. */
export interface ServiceFleet {
  readonly engine: EngineProfile;
  readonly candidates: readonly Candidate[];
  readonly profiles: ReadonlyMap<string, ServerProfile & EstimatedServer>;
  /** Number of routes without a common server that the held layers of each failure domain allow on average. */
  readonly parallelRoutes: ReadonlyMap<string, number>;
}

export class ServiceFleets {
  private readonly fleets = new Map<string, ServiceFleet>();

  public constructor(private readonly directory: ServerDirectory) {
    directory.onChange(() => this.fleets.clear());
  }

  /** Returns the servers of a service as of now. */
  public of(service: Service, engine: EngineProfile): ServiceFleet {
    let fleet = this.fleets.get(service.name);
    if (fleet?.engine !== engine) {
      fleet = this.collectFleet(service, engine);
      this.fleets.set(service.name, fleet);
    }
    return fleet;
  }

  private collectFleet(service: Service, engine: EngineProfile): ServiceFleet {
    const candidates: Candidate[] = [];
    const profiles = new Map<string, ServerProfile & EstimatedServer>();
    const parallelRoutes = new Map<string, number>();
    for (const { record } of this.directory.all()) {
      const { id, span, failureDomain } = record;
      const accelerator = engine.accelerators.get(record.accelerator);
      if (record.service !== service.name || span === undefined || accelerator === undefined)
        continue;
      const layers = span.to - span.from;
      const profile = profileServer(engine, accelerator, layers);
      profiles.set(id, { ...profile, failureDomain });
      candidates.push(toCandidate(record, span));
      const routes = parallelRoutes.get(failureDomain) ?? 0;
      parallelRoutes.set(failureDomain, routes + layers / engine.layers);
    }
    return { engine, candidates, profiles, parallelRoutes };
  }
}

function toCandidate(record: BackendServer, { from, to }: LayerSpan): Candidate {
  const { id, address, failureDomain } = record;
  return { server: id, address, failureDomain, from, to, layerMs: 0, linkMs: 0 };
}
