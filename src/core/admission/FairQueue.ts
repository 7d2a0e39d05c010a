/** Queue used by admission: fair between accounts; within an account by priority, then by deadline. */

/** Scheduling options of one queued run. */
export interface FairQueueOptions {
  readonly id?: string;
  readonly account: string;
  /** Weight of the account: its share of the work that runs, relative to other accounts' weights. */
  readonly weight: number;
  /** Of the account's runs, those of higher priority come first. */
  readonly priority: number;
  /** Clock time in milliseconds; of the account's runs of equal priority, the earliest comes first. */
  readonly deadline: number;
  /** Work, in tokens. */
  readonly cost: number;
}

type Run = () => Promise<unknown>;

interface Entry extends FairQueueOptions {
  readonly run: Run;
}

interface AccountQueue {
  readonly entries: Entry[];
  /** Virtual time at which the account's next entry may start. */
  start: number;
}

const DEFAULTS: FairQueueOptions = {
  account: '',
  weight: 1,
  priority: 0,
  deadline: Infinity,
  cost: 1,
};

function comesBefore(a: Entry, b: Entry): boolean {
  if (a.priority !== b.priority) return a.priority > b.priority;
  return a.deadline < b.deadline;
}

/** Start-time fair queueing across accounts. Used as the queue class of p-queue. */
export class FairQueue {
  private readonly accounts = new Map<string, AccountQueue>();

  private virtualTime = 0;

  private length = 0;

  public get size(): number {
    return this.length;
  }

  public enqueue(run: Run, options: Partial<FairQueueOptions> = {}): void {
    const entry: Entry = { ...DEFAULTS, ...options, run };
    let account = this.accounts.get(entry.account);
    if (account === undefined) {
      account = { entries: [], start: this.virtualTime };
      this.accounts.set(entry.account, account);
    }
    if (account.entries.length === 0) account.start = Math.max(account.start, this.virtualTime);
    let at = account.entries.length;
    while (at > 0 && comesBefore(entry, account.entries[at - 1])) at -= 1;
    account.entries.splice(at, 0, entry);
    this.length += 1;
  }

  public dequeue(): Run | undefined {
    const account = this.nextAccount();
    const entry = account?.entries.shift();
    if (account === undefined || entry === undefined) return undefined;
    this.virtualTime = account.start;
    account.start += entry.cost / entry.weight;
    this.length -= 1;
    return entry.run;
  }

  public filter(options: Readonly<Partial<FairQueueOptions>>): Run[] {
    const runs: Run[] = [];
    for (const account of this.accounts.values()) {
      for (const entry of account.entries) {
        if (options.account === undefined || entry.account === options.account)
          runs.push(entry.run);
      }
    }
    return runs;
  }

  public setPriority(id: string, priority: number): void {
    for (const account of this.accounts.values()) {
      const at = account.entries.findIndex((entry) => entry.id === id);
      if (at < 0) continue;
      const [entry] = account.entries.splice(at, 1) as [Entry];
      this.length -= 1;
      this.enqueue(entry.run, { ...entry, priority });
      return;
    }
  }

  private nextAccount(): AccountQueue | undefined {
    let best: AccountQueue | undefined;
    for (const [name, account] of this.accounts) {
      if (account.entries.length === 0) {
        if (account.start <= this.virtualTime) this.accounts.delete(name);
        continue;
      }
      if (best === undefined || account.start < best.start) best = account;
    }
    return best;
  }
}
