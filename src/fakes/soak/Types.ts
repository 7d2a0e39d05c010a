/** Types of the soak runs, which inject random faults into a small fleet in virtual time. */

export enum FaultKind {
  ServerCrash = 'server-crash',
  /** Every server of a failure domain crashes. */
  DomainCrash = 'domain-crash',
  /** Every server of every failure domain crashes. */
  WideOutage = 'wide-outage',
  /** Servers that do not check fencing numbers lose their layers. */
  ServersUnload = 'servers-unload',
  ServerFreeze = 'server-freeze',
  /** The layers of one server take longer, as over a slow link. */
  LinkDegrade = 'link-degrade',
  /** One server reports that it is leaving and rejects new requests. */
  ServerLeaves = 'server-leaves',
  /** A ticket drains one server, and a later one puts it back in service. */
  TicketDrain = 'ticket-drain',
  /** One server of plain services resets some connections, before or after the call ran. */
  PlainFlaky = 'plain-flaky',
  InstanceCrash = 'instance-crash',
  InstancePause = 'instance-pause',
  /** A lease holder pauses for longer than its lease lasts, during a `ServersUnload`. */
  LeaseHolderPause = 'lease-holder-pause',
  InstanceStop = 'instance-stop',
  /** The platform answers no call. The other `Store` kinds are faults of the platform too. */
  StoreDown = 'store-down',
  StoreSlow = 'store-slow',
  StoreLosesAnswers = 'store-loses-answers',
  StoreLateWrites = 'store-late-writes',
  StoreStaleReads = 'store-stale-reads',
  CutFromPlatform = 'cut-from-platform',
  DomainsCut = 'domains-cut',
  OperatorRace = 'operator-race',
  /** The platform keeps returning the instance list that it had when the fault began. */
  ListLag = 'list-lag',
}

/** One fault of a run. */
export interface Fault {
  readonly kind: FaultKind;
  /** Start, in milliseconds of the run. */
  readonly at: number;
  readonly durationMs: number;
  /** Selects the server, instance or failure domain that the fault affects. */
  readonly target: number;
}

/** Result of one run. */
export interface RunReport {
  readonly steps: number;
  readonly requests: number;
  readonly complete: number;
  readonly notRun: number;
  readonly unknown: number;
  readonly tickets: number;
  readonly checks: ReadonlyMap<string, number>;
}
