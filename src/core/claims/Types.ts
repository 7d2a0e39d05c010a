/** Claims that make keyed requests run at most once. */

export enum ClaimState {
  /** Its holder may run or be running the request. */
  Running = 'running',
  /** The answer is stored. */
  Done = 'done',
  /** Its holder never dispatched the request; it may be claimed again. */
  Released = 'released',
}

/** A whole answer, kept for replay. */
export interface StoredAnswer {
  readonly status: number;
  readonly contentType: string;
  /** Base64 of the body. */
  readonly body: string;
}

/** Row `claim/<account>/<key>`. */
export interface ClaimRow {
  readonly state: ClaimState;
  /** Instance and incarnation that claimed. */
  readonly holder: string;
  /** Unique to one attempt to claim. */
  readonly attempt: string;
  /** SHA-256 of the request. */
  readonly digest: string;
  readonly answer?: StoredAnswer;
}

export enum ClaimVerdict {
  /** The caller of `claim` holds it and may dispatch. */
  Held = 'held',
  /** The answer is already stored. */
  Replay = 'replay',
  /** Another attempt is running. */
  Running = 'running',
  /** The key stands for another request. */
  Mismatch = 'mismatch',
  /** No claim was made, nor will be. */
  NotMade = 'not-made',
  /** The table service is silent; the claim may land, but this attempt will not dispatch. */
  Silent = 'silent',
}

/** Answer of an attempt to claim. */
export interface ClaimResult {
  readonly verdict: ClaimVerdict;
  /** Version of the row when held. */
  readonly version: number;
  readonly row?: ClaimRow;
}
