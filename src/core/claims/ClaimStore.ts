import {
  SettleOutcome,
  writeAndSettle,
  type SettleDependencies,
  type SettleableWrite,
} from '../settle/SettleableWrite.js';
import {
  ClaimState,
  ClaimVerdict,
  type ClaimResult,
  type ClaimRow,
  type StoredAnswer,
} from './Types.js';
import type { Row } from '../../ports/Types.js';

/** Key of a claim's row. */
export const claimKey = (account: string, key: string): string => `claim/${account}/${key}`;

/** A request whose key is to be claimed. */
export interface ClaimRequest {
  readonly account: string;
  readonly key: string;
  readonly digest: string;
  /** Id of the attempt to claim the key, stored in the row. */
  readonly attempt: string;
}

/** A claim that this instance holds. */
export interface HeldClaim {
  readonly request: ClaimRequest;
  /** Version of the claim's row. */
  readonly version: number;
}

/** Rounds of reading and inserting the row before a contended claim is given up. */
const MAX_CLAIM_ROUNDS = 8;

/**
 * Evaluates the row of a key for a request that uses the key.
 * @returns undefined when the key can be claimed at the row's version
 */
export function evaluateClaim(
  row: ClaimRow | undefined,
  request: ClaimRequest,
): ClaimVerdict | undefined {
  if (row === undefined) return undefined;
  if (row.state === ClaimState.Running && row.attempt === request.attempt) return ClaimVerdict.Held;
  if (row.digest !== request.digest) return ClaimVerdict.Mismatch;
  if (row.state === ClaimState.Done) return ClaimVerdict.Replay;
  if (row.state === ClaimState.Running) return ClaimVerdict.Running;
  return undefined;
}

/** Creates, completes and releases claims in the table service. A claim is never taken over. */
export class ClaimStore {
  public constructor(
    private readonly dependencies: SettleDependencies,
    private readonly holder: string,
    private readonly settleTimeoutMs: number,
  ) {}

  /** Claims a key. The request may be dispatched only when the verdict is `Held`. */
  public async claim(request: ClaimRequest): Promise<ClaimResult> {
    let isInserted = false;
    for (let round = 0; round < MAX_CLAIM_ROUNDS; round += 1) {
      const result = await this.tryClaim(request);
      if (result === SettleOutcome.Committed) isInserted = true;
      else if (result === SettleOutcome.Conflict) isInserted = false;
      // A claim that was made and cannot be read back still has to be released.
      else if (result.verdict === ClaimVerdict.NotMade && isInserted) break;
      else return result;
    }
    const verdict = isInserted ? ClaimVerdict.Unknown : ClaimVerdict.NotMade;
    return { verdict, version: 0 };
  }

  /** Reads the row of a key; rejects while the table service is unavailable. */
  public async read(request: ClaimRequest): Promise<ClaimRow | undefined> {
    const [row] = await this.dependencies.table.read([claimKey(request.account, request.key)]);
    return row?.value as ClaimRow | undefined;
  }

  /**
   * Stores the answer of a held claim.
   * @returns false when the table service did not answer; the caller must then retry
   */
  public complete(claim: HeldClaim, answer: StoredAnswer): Promise<boolean> {
    return this.finish(claim, ClaimState.Done, answer);
  }

  /**
   * Releases a claim whose request was never dispatched.
   * @returns whether the release took effect; only then may the key be claimed again
   */
  public release(claim: HeldClaim): Promise<boolean> {
    return this.finish(claim, ClaimState.Released);
  }

  /**
   * Evaluates the row, or inserts it.
   * @returns `Committed` after the insert: the next round reads the version; `Conflict` if another row won
   */
  private async tryClaim(
    request: ClaimRequest,
  ): Promise<ClaimResult | SettleOutcome.Committed | SettleOutcome.Conflict> {
    let row: Row | undefined;
    try {
      [row] = await this.dependencies.table.read([claimKey(request.account, request.key)]);
    } catch {
      return { verdict: ClaimVerdict.NotMade, version: 0 };
    }
    const current = row?.value as ClaimRow | undefined;
    const verdict = evaluateClaim(current, request);
    if (verdict !== undefined)
      return { verdict, version: row?.version ?? 0, ...(current && { row: current }) };
    const settled = await writeAndSettle(
      this.dependencies,
      this.claimWrite(request, row),
      this.settleTimeoutMs,
    );
    if (settled.outcome === SettleOutcome.Cancelled)
      return { verdict: ClaimVerdict.NotMade, version: 0 };
    if (settled.outcome === SettleOutcome.Unknown)
      return { verdict: ClaimVerdict.Unknown, version: 0 };
    return settled.outcome;
  }

  private claimWrite(request: ClaimRequest, row: Row | undefined): SettleableWrite {
    const key = claimKey(request.account, request.key);
    const value: ClaimRow = {
      state: ClaimState.Running,
      holder: this.holder,
      attempt: request.attempt,
      digest: request.digest,
    };
    const expectedVersion = row?.version ?? 0;
    return {
      transaction: { conditions: [{ key, version: expectedVersion }], writes: [{ key, value }] },
      marker: key,
      expectedVersion,
      isOurs: (found) => (found.value as ClaimRow).attempt === request.attempt,
      cancelValue: {
        ...value,
        state: ClaimState.Released,
        attempt: `${request.attempt}/cancelled`,
      } satisfies ClaimRow,
    };
  }

  private async finish(
    claim: HeldClaim,
    state: ClaimState,
    answer?: StoredAnswer,
  ): Promise<boolean> {
    const { request, version } = claim;
    const key = claimKey(request.account, request.key);
    const value: ClaimRow = {
      state,
      holder: this.holder,
      attempt: request.attempt,
      digest: request.digest,
      ...(answer && { answer }),
    };
    const settled = await writeAndSettle(
      this.dependencies,
      {
        transaction: { conditions: [{ key, version }], writes: [{ key, value }] },
        marker: key,
        expectedVersion: version,
        isOurs: (found) => (found.value as ClaimRow).state === state,
        // Settling repeats the same write, so it does not matter which of the two takes effect.
        cancelValue: value,
      },
      this.settleTimeoutMs,
    );
    // Only the holder replaces the row of a running claim, so a conflict means that an earlier write succeeded.
    return settled.outcome !== SettleOutcome.Unknown;
  }
}
