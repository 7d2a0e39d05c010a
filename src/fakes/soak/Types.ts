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
  LinkDegrade = 'link-degrade',
  ServerLeaves = 'server-leaves',
  TicketDrain = 'ticket-drain',
  PlainFlaky = 'plain-flaky',
  InstanceCrash = 'instance-crash',
  InstancePause = 'instance-pause',
  LeaseHolderPause = 'lease-holder-pause',
  InstanceStop = 'instance-stop',
  StoreDown = 'store-down',
  StoreSlow = 'store-slow',
  StoreLosesAnswers = 'store-loses-answers',
  StoreLateWrites = 'store-late-writes',
  StoreStaleReads = 'store-stale-reads',
  CutFromPlatform = 'cut-from-platform',
  DomainsCut = 'domains-cut',
  OperatorRace = 'operator-race',
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
