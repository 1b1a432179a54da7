/** Records, events and effects of claims of idempotency keys. */
import type { Branded, Millis, OutcomeKind, Ran } from '../types.js'

/** Digest of an organisation's idempotency key. */
export type KeyDigest = Branded<string, 'KeyDigest'>

/** Unique id of one claim, stored in the record that was written for the claim. */
export type ClaimToken = Branded<string, 'ClaimToken'>

/** State of a stored key. */
export const KeyState = {
  /** The key is claimed; the request may have been sent. */
  Claimed: 'claimed',
  /** The request ran and its outcome is stored. */
  Done: 'done',
  /** The request was sent, and it is unknown whether it ran. */
  Unknown: 'unknown'
} as const
export type KeyState = typeof KeyState[keyof typeof KeyState]

/** The stored outcome of a request, for replay to later callers with the same key. */
export interface RecordedOutcome {
  readonly kind: OutcomeKind
  readonly ran: Ran
  /** The answer in the node's encoding; null if there is none or it was too large to store. */
  readonly answer: string | null
}

/** The record of a key in the key-value service. */
export interface KeyRecord {
  readonly token: ClaimToken
  /** Name of the node that made the claim. */
  readonly owner: string
  /** Wall time of the claim, in milliseconds since the epoch. */
  readonly claimedAt: number
  /** Time until the request's deadline when its key was claimed. */
  readonly timeLimit: Millis
  /** Digest of the request; the same key with another digest is a conflict. Null if the record could not be decoded. */
  readonly body: string | null
  readonly state: KeyState
  readonly outcome: RecordedOutcome | null
}

/** A caller's attempt to claim a key in order to run a request. */
export interface ClaimRequest {
  readonly key: KeyDigest
  readonly token: ClaimToken
  readonly body: string
  readonly timeLimit: Millis
}

export type ClaimResult =
  /** The caller has claimed the key and must run the request, then conclude with the token of the claim. */
  | { readonly type: 'claimed', readonly claim: ClaimToken }
  /** An earlier request with the key was concluded; this is its outcome. */
  | { readonly type: 'replay', readonly outcome: RecordedOutcome }
  | { readonly type: 'in_progress', readonly retryAfter: Millis }
  /** An earlier request with the key was sent, and it cannot be determined whether it ran. It is never run again. */
  | { readonly type: 'unknown' }
  /** The key was used for a different request. */
  | { readonly type: 'conflict' }
  /** The key could not be claimed, and the request did not run. */
  | { readonly type: 'unavailable', readonly retryAfter: Millis, readonly reason: string }

/** How a claimed request ended. */
export type Conclusion =
  /** The request did not run; the key is deleted and can be claimed again. */
  | { readonly type: 'not_run' }
  | { readonly type: 'done', readonly outcome: RecordedOutcome }
  | { readonly type: 'unknown' }

/** The operation for one key in a batch. */
export interface KeyWrite {
  readonly key: KeyDigest
  /** Store revision that the key must have for the write to succeed; 0 if the key must not exist. */
  readonly modRevision: number
  /** The record to store; null deletes the key. */
  readonly record: KeyRecord | null
}

/** The record of a key in the store and its revision, as returned when a write is refused. */
export interface StoredRecord {
  readonly modRevision: number
  readonly record: KeyRecord
}

export type RegisterEvent =
  | { readonly type: 'claim', readonly request: ClaimRequest }
  | { readonly type: 'conclude', readonly key: KeyDigest, readonly token: ClaimToken, readonly conclusion: Conclusion }
  /** The write took effect at the given store revision. */
  | { readonly type: 'written', readonly batch: number, readonly revision: number }
  /** At least one key did not have the expected revision, and nothing was written. `stored` is in the order of the batch. */
  | { readonly type: 'refused', readonly batch: number, readonly revision: number, readonly stored: ReadonlyArray<StoredRecord | null> }
  /** The write certainly did not take effect. */
  | { readonly type: 'not_written', readonly batch: number, readonly overloaded: boolean, readonly retryAfter: Millis | null }
  /** The response was lost; it is unknown whether the write took effect. */
  | { readonly type: 'answer_lost', readonly batch: number }
  /** Changes the number of writes per second that this node may send. */
  | { readonly type: 'share_changed', readonly writesPerSecond: number }
  | { readonly type: 'ticked' }

export type RegisterEffect =
  /** Write all keys in one transaction, or read all of them if one does not have the expected revision. */
  | { readonly type: 'write', readonly batch: number, readonly writes: readonly KeyWrite[] }
  | { readonly type: 'answer', readonly token: ClaimToken, readonly result: ClaimResult }
  /** The conclusion of a claim is in the store, or can no longer be written there. */
  | { readonly type: 'concluded', readonly token: ClaimToken }
  /** A claim of this node is missing in the store. The store must have been restored to an older state. */
  | { readonly type: 'report_missing', readonly key: KeyDigest }
  /** The store has another claim in place of this node's claim. */
  | { readonly type: 'report_taken', readonly key: KeyDigest, readonly owner: string }
  | { readonly type: 'set_timer', readonly at: Millis }
