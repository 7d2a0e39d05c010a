/**
 * Keeps in the store what only router instances know: evidence of crashes and the limits that servers name.
 * Otherwise it would be lost when all instances end at the same moment, and be learnt anew at the servers' cost.
 *
 * The hub of each failure domain writes one row, shortly after something changed, and removes it once nothing
 * is left to keep. A starting instance reads the rows of all domains before it accepts requests.
 */
import { z } from 'zod';
import type { ChangeFeed, StoreSnapshot } from '../../ports/ChangeFeed.js';
import { CommitStatus, type Clock, type Disposable, type TableService } from '../../ports/Types.js';
import type { DecisionLog } from '../DecisionLog.js';
import type { ServerLimits, SharedServerLimit } from '../limits/ServerLimits.js';
import type { CrashEvidence, Quarantine } from '../quarantine/Types.js';
import { describeRevision, eraOf } from './Revision.js';

/** Table of the rows, one for each failure domain. */
export const KNOWLEDGE_TABLE = 'knowledge';

/** Maximum number of limits in a row; a row may have 64 KiB. */
const MAX_LIMITS = 256;

const AGE = z.number().nonnegative();

const ROW = z.object({
  /** Time of the store's steady clock at which the ages below held, in milliseconds. */
  savedAtMs: z.number(),
  evidence: z
    .object({
      crashes: z.array(
        z.object({
          server: z.string(),
          incarnation: z.number(),
          ageMs: AGE,
          parts: z.array(z.string()),
        }),
      ),
      answers: z.array(z.object({ part: z.string(), ageMs: AGE })),
    })
    .optional(),
  serverLimits: z
    .array(z.object({ server: z.string(), incarnation: z.number(), perSecond: AGE, ageMs: AGE }))
    .max(MAX_LIMITS)
    .default([]),
});

/** What one failure domain's instances know. */
export type KnowledgeRow = z.output<typeof ROW>;

/**
 * Decodes a row of the table.
 * @returns undefined when the value is not a valid row
 */
export function decodeKnowledgeRow(value: unknown): KnowledgeRow | undefined {
  const parsed = ROW.safeParse(value);
  return parsed.success ? parsed.data : undefined;
}

export interface KnowledgeArchiveDependencies {
  readonly clock: Clock;
  readonly table: TableService;
  readonly rows: ChangeFeed<KnowledgeRow>;
  readonly failureDomain: string;
  readonly quarantine: Quarantine;
  readonly serverLimits: ServerLimits;
  readonly decisions: DecisionLog;
  /** Whether this instance writes its failure domain's row. */
  readonly isHub: () => boolean;
  /** Whether a peer that may accept requests has told what it knows. */
  readonly isPreparedByPeer: () => boolean;
}

/** Delay of a write after a change, in milliseconds; it collects further crashes of the same moment. */
const SAVE_DELAY_MS = 50;

/** Interval of checks whether a write is due, in milliseconds; also the delay after a failed write. */
const CHECK_INTERVAL_MS = 1000;

/** Delay after the first failed attempt to read the rows at start, in milliseconds; doubles with each further one. */
const FIRST_LOAD_RETRY_MS = 200;

/** Longest delay between these attempts, in milliseconds: many instances may start while the store is away. */
const MAX_LOAD_RETRY_MS = 1600;

/**
 * Interval of writes while servers name limits, in milliseconds: a third of the time for which a limit holds
 * that no answer repeats.
 */
const REFRESH_MS = 10_000;

/**
 * Time for which requests wait for the rows once a configuration is known, in milliseconds: the store may serve
 * some tables and not others.
 */
const MAX_PREPARATION_MS = 3000;

function withAge<T extends { readonly ageMs: number }>(items: readonly T[], ms: number): T[] {
  return items.map((item) => ({ ...item, ageMs: item.ageMs + ms }));
}

export class KnowledgeArchive {
  private hasLoaded = false;

  /** Whether something has changed since the last write of this instance. */
  private isDirty = false;

  private isSaving = false;

  /** Time of the first question whether requests may be accepted. */
  private askedAt: number | undefined;

  /** Whether the row in the store holds something. */
  private isRowPresent = false;

  private savedAt = -Infinity;

  private isDisposed = false;

  private timer: Disposable | undefined;

  private saveTimer: Disposable | undefined;

  private readonly subscriptions: readonly Disposable[];

  public constructor(private readonly dependencies: KnowledgeArchiveDependencies) {
    const { quarantine, serverLimits } = dependencies;
    this.subscriptions = [
      quarantine.onCrash(() => this.noteChange()),
      quarantine.onChange(() => this.noteChange()),
      serverLimits.onChange(() => this.noteChange()),
    ];
  }

  /**
   * Whether requests may be accepted: the rows have been read, a prepared peer has told what it knows, or neither
   * happened within the time limit, which begins with the first call.
   */
  public get isPrepared(): boolean {
    if (this.hasLoaded || this.dependencies.isPreparedByPeer()) return true;
    const now = this.dependencies.clock.now();
    this.askedAt ??= now;
    return now - this.askedAt >= MAX_PREPARATION_MS;
  }

  public start(): void {
    this.load(FIRST_LOAD_RETRY_MS);
    this.check();
  }

  public dispose(): void {
    this.isDisposed = true;
    this.timer?.dispose();
    this.saveTimer?.dispose();
    for (const subscription of this.subscriptions) subscription.dispose();
  }

  /** @param retryMs - delay after a failure, in milliseconds */
  private async load(retryMs: number): Promise<void> {
    const { rows, clock, decisions } = this.dependencies;
    try {
      this.merge(await rows.readAll());
      this.hasLoaded = true;
    } catch (error) {
      decisions.record('knowledge', { outcome: 'tried again', error: (error as Error).message });
      const nextMs = Math.min(MAX_LOAD_RETRY_MS, 2 * retryMs);
      if (!this.isDisposed) clock.schedule(retryMs, () => this.load(nextMs));
    }
  }

  /** Adds what the rows of all failure domains hold, as old as it is by now. */
  private merge({ entries, storeTimeMs }: StoreSnapshot<KnowledgeRow>): void {
    const { quarantine, serverLimits, decisions, failureDomain } = this.dependencies;
    for (const { key, revision, value } of entries) {
      if (key === failureDomain) this.isRowPresent = true;
      if (value === undefined) {
        decisions.record('knowledge', {
          outcome: 'row ignored, not valid',
          row: key,
          revision: describeRevision(revision),
        });
        continue;
      }
      const ms = Math.max(0, storeTimeMs - value.savedAtMs);
      const source = `store/${key}`;
      serverLimits.merge(withAge(value.serverLimits, ms), source);
      const { evidence } = value;
      if (evidence !== undefined) {
        const { crashes, answers } = evidence;
        quarantine.merge({ crashes: withAge(crashes, ms), answers: withAge(answers, ms) }, source);
      }
      decisions.record('knowledge', {
        outcome: 'read',
        row: key,
        revision: describeRevision(revision),
        ageMs: Math.round(ms),
        crashes: evidence?.crashes.length ?? 0,
        limits: value.serverLimits.length,
      });
    }
  }

  /** Writes the row anew: the store has come back from a copy in which it is absent or older. */
  public rewrite(): void {
    this.noteChange();
  }

  private noteChange(): void {
    this.isDirty = true;
    if (!this.dependencies.isHub()) return;
    this.saveTimer ??= this.dependencies.clock.schedule(SAVE_DELAY_MS, () => {
      this.saveTimer = undefined;
      this.save();
    });
  }

  private check(): void {
    const { clock, isHub, serverLimits } = this.dependencies;
    const needsRefresh = serverLimits.size > 0 && clock.now() - this.savedAt >= REFRESH_MS;
    // What the hub that wrote the row knew may have ended without a change that is announced.
    const isEmpty = this.isRowPresent && this.current() === undefined;
    if (isHub() && (this.isDirty || needsRefresh || isEmpty)) this.save();
    this.timer = clock.schedule(CHECK_INTERVAL_MS, () => this.check());
  }

  /** Returns what is to be kept; undefined if nothing is. */
  private current(): { evidence?: CrashEvidence; serverLimits: SharedServerLimit[] } | undefined {
    const evidence = this.dependencies.quarantine.evidence();
    const serverLimits = this.dependencies.serverLimits.list().slice(0, MAX_LIMITS);
    if (serverLimits.length === 0 && (evidence === undefined || evidence.crashes.length === 0))
      return undefined;
    return { serverLimits, ...(evidence !== undefined && { evidence }) };
  }

  /** Writes the row, unless another instance has changed it since it was read here. */
  private async save(): Promise<void> {
    if (this.isSaving || !this.hasLoaded) return;
    const { table, rows, clock, decisions, failureDomain } = this.dependencies;
    this.isSaving = true;
    this.isDirty = false;
    try {
      const read = await rows.readAll();
      const own = read.entries.find(({ key }) => key === failureDomain);
      const known = this.current();
      const key = `${KNOWLEDGE_TABLE}/${failureDomain}`;
      if (known !== undefined || own !== undefined) {
        const { status } = await table.transact({
          conditions: [{ key, version: own?.revision ?? 0 }],
          era: eraOf(read.revision),
          writes:
            known === undefined ? [] : [{ key, value: { savedAtMs: read.storeTimeMs, ...known } }],
          removes: known === undefined ? [key] : [],
        });
        this.isDirty ||= status === CommitStatus.Conflict;
        decisions.record('knowledge', {
          outcome: status === CommitStatus.Conflict ? 'written by another' : 'written',
          crashes: known?.evidence?.crashes.length ?? 0,
          limits: known?.serverLimits.length ?? 0,
        });
      }
      this.isRowPresent = known !== undefined;
      this.savedAt = clock.now();
    } catch (error) {
      this.isDirty = true;
      decisions.record('knowledge', { outcome: 'not written', error: (error as Error).message });
    } finally {
      this.isSaving = false;
    }
  }
}
