/** Claims of idempotency keys: records, events and effects. */
import type { Branded, Millis, OutcomeKind, Ran } from '../types.js'

/** Digest of an organisation's idempotency key. */
export type KeyDigest = Branded<string, 'KeyDigest'>

/** Unique id of one claim; a record that carries it was written for that claim. */
export type ClaimToken = Branded<string, 'ClaimToken'>

export const KeyState = {
  /** Claimed, and perhaps sent. */
  Claimed: 'claimed',
  /** Concluded with an answer. */
  Done: 'done',
  /** Sent, and whether it ran is not known. */
  Unknown: 'unknown'
} as const
export type KeyState = typeof KeyState[keyof typeof KeyState]

/** The outcome that is kept for replay. */
export interface RecordedOutcome {
  readonly kind: OutcomeKind
  readonly ran: Ran
  /** The answer in the node's encoding; null where it was too large to keep. */
  readonly answer: string | null
}

/** What the key-value service holds for a key. */
export interface KeyRecord {
  readonly token: ClaimToken
  /** Node that made the claim. */
  readonly owner: string
  /** Wall time of the claim, in milliseconds since the epoch. */
  readonly claimedAt: number
  /** Time that the request had left when its key was claimed. */
  readonly timeLimit: Millis
  /** Digest of the request; the same key with another digest is a conflict. Null where it is not known. */
  readonly body: string | null
  readonly state: KeyState
  readonly outcome: RecordedOutcome | null
}

/** A caller's wish to run a request under a key. */
export interface ClaimOrder {
  readonly key: KeyDigest
  readonly token: ClaimToken
  readonly body: string
  readonly timeLimit: Millis
}

export type ClaimResult =
  /** The key is this caller's: run the request, then conclude with the token of the claim. */
  | { readonly type: 'claimed', readonly claim: ClaimToken }
  /** The request was concluded before; this is its outcome. */
  | { readonly type: 'replay', readonly outcome: RecordedOutcome }
  | { readonly type: 'in_progress', readonly retryAfter: Millis }
  /** It was sent, and whether it ran will not be known; it is never run again. */
  | { readonly type: 'unknown' }
  /** The key stands for another request. */
  | { readonly type: 'conflict' }
  /** The key could not be claimed; nothing ran. */
  | { readonly type: 'unavailable', readonly retryAfter: Millis, readonly reason: string }

/** How a claimed request ended. */
export type Conclusion =
  /** It did not run; the key is free again. */
  | { readonly type: 'not_run' }
  | { readonly type: 'done', readonly outcome: RecordedOutcome }
  | { readonly type: 'unknown' }

/** One key in a write. */
export interface KeyWrite {
  readonly key: KeyDigest
  /** Store revision that the key has to have; 0 where it must not exist. */
  readonly modRevision: number
  /** Null deletes the key. */
  readonly record: KeyRecord | null
}

/** What a key held when a write was refused. */
export interface HeldRecord {
  readonly modRevision: number
  readonly record: KeyRecord
}

export type RegisterEvent =
  | { readonly type: 'claim', readonly order: ClaimOrder }
  | { readonly type: 'conclude', readonly key: KeyDigest, readonly token: ClaimToken, readonly conclusion: Conclusion }
  /** The write took effect at this store revision. */
  | { readonly type: 'written', readonly batch: number, readonly revision: number }
  /** Some key was not as expected; nothing was written. `held` is in the order of the batch. */
  | { readonly type: 'refused', readonly batch: number, readonly revision: number, readonly held: ReadonlyArray<HeldRecord | null> }
  /** The write did not take place. */
  | { readonly type: 'not_written', readonly batch: number, readonly overloaded: boolean, readonly retryAfter: Millis | null }
  /** It is not known whether the write took place. */
  | { readonly type: 'answer_lost', readonly batch: number }
  /** Writes a second that this node may use. */
  | { readonly type: 'share_changed', readonly writesPerSecond: number }
  | { readonly type: 'ticked' }

export type RegisterEffect =
  /** Write all keys in one transaction, or read them all where one is not as expected. */
  | { readonly type: 'write', readonly batch: number, readonly writes: readonly KeyWrite[] }
  | { readonly type: 'answer', readonly token: ClaimToken, readonly result: ClaimResult }
  /** A claim of this node is gone from the store, which must have been set back. */
  | { readonly type: 'report_missing', readonly key: KeyDigest }
  /** Another claim stands where this node's stood. */
  | { readonly type: 'report_taken', readonly key: KeyDigest, readonly owner: string }
  | { readonly type: 'set_timer', readonly at: Millis }
