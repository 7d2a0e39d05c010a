/** Types of the claims that make keyed requests run at most once. */

export enum ClaimState {
  /**
   * The request may be running or may have run: the holder has neither stored an answer nor released the
   * claim.
   */
  Running = 'running',
  /** The answer is stored. */
  Done = 'done',
  /** The holder never dispatched the request; the key may be claimed again. */
  Released = 'released',
}

/** A complete answer, stored for repeats of its request. */
export interface StoredAnswer {
  readonly status: number;
  readonly contentType: string;
  /** Base64 of the body. */
  readonly body: string;
}

/** Row `claim/<account>/<key>`. */
export interface ClaimRow {
  readonly state: ClaimState;
  /** Instance and incarnation that made the claim. */
  readonly holder: string;
  /** Unique to one attempt to claim. */
  readonly attempt: string;
  /** SHA-256 of the request. */
  readonly digest: string;
  readonly answer?: StoredAnswer;
}

/** Result of an attempt to claim a key. */
export enum ClaimVerdict {
  /** The caller of `claim` holds the claim and may dispatch the request. */
  Held = 'held',
  /** The answer is already stored. */
  Replay = 'replay',
  /** Another attempt holds the claim, and no answer is stored. */
  Running = 'running',
  /** The key was used for a different request. */
  Mismatch = 'mismatch',
  /** No claim was made and none will be. This attempt dispatches nothing. */
  NotMade = 'not-made',
  /**
   * The table service did not answer; the claim may have taken effect or still do so, but this attempt
   * dispatches nothing.
   */
  Unknown = 'silent',
}

/** Verdict of an attempt to claim a key, with the row that decided it. */
export interface ClaimResult {
  readonly verdict: ClaimVerdict;
  /** Version of the row that decided the verdict; 0 when there is none. */
  readonly version: number;
  readonly row?: ClaimRow;
}
