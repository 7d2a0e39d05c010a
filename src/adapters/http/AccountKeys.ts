import { createHash, timingSafeEqual } from 'node:crypto';
import type { Configuration } from '../../core/tickets/Configuration.js';
import { ObjectKind } from '../../core/tickets/Types.js';

const BEARER_PREFIX = 'Bearer ';

/** Maps bearer keys to client accounts. Stores and compares only the SHA-256 hashes of keys. */
export class AccountKeys {
  private accountByHash = new Map<string, string>();

  private indexedTicket = -1;

  public constructor(private readonly configuration: Configuration) {}

  /**
   * Finds the account whose key an Authorization header carries.
   * @returns undefined if the key is missing or unknown
   */
  public accountOf(authorization: string | undefined): string | undefined {
    if (authorization?.startsWith(BEARER_PREFIX) !== true) return undefined;
    this.rebuildIndex();
    const hash = createHash('sha256').update(authorization.slice(BEARER_PREFIX.length)).digest();
    const account = this.accountByHash.get(hash.toString('hex'));
    if (account === undefined) return undefined;
    const knownHashes =
      this.configuration.state(ObjectKind.ClientAccount, account)?.keyHashes ?? [];
    let matches = false;
    for (const candidate of knownHashes) {
      if (timingSafeEqual(Buffer.from(candidate, 'hex'), hash)) matches = true;
    }
    return matches ? account : undefined;
  }

  private rebuildIndex(): void {
    if (this.indexedTicket === this.configuration.ticketNumber) return;
    this.indexedTicket = this.configuration.ticketNumber;
    this.accountByHash = new Map();
    for (const { name, state } of this.configuration.list(ObjectKind.ClientAccount)) {
      for (const hash of state.keyHashes) this.accountByHash.set(hash, name);
    }
  }
}
