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

  /** Returns the id of the entry that `dequeue` takes next. */
  public peek(): string | undefined {
    return this.nextAccount()?.entries[0]?.id;
  }

  /** Returns the id of the last entry of the account with the most entries, which is missed least. */
  public last(): string | undefined {
    let longest: AccountQueue | undefined;
    for (const account of this.accounts.values()) {
      if (longest === undefined || account.entries.length > longest.entries.length)
        longest = account;
    }
    return longest?.entries.at(-1)?.id;
  }

  /** Number of entries of an account. */
  public sizeOf(account: string): number {
    return this.accounts.get(account)?.entries.length ?? 0;
  }

  /**
   * Removes an entry without charging its account for it.
   * @returns its options and run; undefined if it is not in the queue
   */
  public remove(id: string): (FairQueueOptions & { readonly run: Run }) | undefined {
    for (const { entries } of this.accounts.values()) {
      const at = entries.findIndex((entry) => entry.id === id);
      if (at < 0) continue;
      this.length -= 1;
      return entries.splice(at, 1)[0];
    }
    return undefined;
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
    const entry = this.remove(id);
    if (entry !== undefined) this.enqueue(entry.run, { ...entry, priority });
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
