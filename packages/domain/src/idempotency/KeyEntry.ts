/** State of one key that a node is claiming, holds while its request runs, or is concluding. */
import { KeyState } from './types.js'
import type { ClaimRequest, ClaimToken, Conclusion, StoredRecord, KeyRecord, KeyWrite } from './types.js'
import type { Millis } from '../types.js'

/** A caller that waits until its key is claimed or until another caller's request with that key has an outcome. */
export interface WaitingCaller {
  readonly request: ClaimRequest
  readonly until: Millis
}

/** Phases of a key at the node that claims it. */
export const EntryPhase = {
  /** The claim is being written. */
  Claiming: 'claiming',
  /** The claim is stored and the request is running. */
  Held: 'held',
  /** The outcome is being written, or the claim is being deleted. */
  Concluding: 'concluding'
} as const
export type EntryPhase = typeof EntryPhase[keyof typeof EntryPhase]

/** Consequence of the store's response for an entry. */
export type WriteResult = 'held' | 'concluded' | 'repeat' | 'missing' | 'taken'

export class KeyEntry {
  readonly request: ClaimRequest
  readonly #claim: KeyRecord
  phase: EntryPhase = EntryPhase.Claiming
  /** Waiting callers in order of arrival; the first one gets the claim. */
  callers: WaitingCaller[] = []
  /** Whether a write of the claim may have taken effect although its response was lost. */
  mayBeWritten = false
  isInFlight = false
  /** Time at which a held claim without a conclusion is concluded as unknown. */
  heldUntil: Millis = Infinity
  /** Whether the claim was discarded before it was written. */
  isDiscarded = false
  #nextRecord: KeyRecord | null
  #modRevision = 0

  /**
   * @param request - the first caller's claim request; its token is stored in the record
   * @param owner - this node's name
   * @param wallTime - current wall time, in milliseconds since the epoch
   */
  constructor (request: ClaimRequest, owner: string, wallTime: number) {
    this.request = request
    const { token, timeLimit, body } = request
    this.#claim = { token, owner, claimedAt: wallTime, timeLimit, body, state: KeyState.Claimed, outcome: null }
    this.#nextRecord = this.#claim
  }

  get token (): ClaimToken {
    return this.request.token
  }

  /** The record to write next; null deletes the key. */
  get nextRecord (): KeyRecord | null {
    return this.#nextRecord
  }

  /** The operation for this key in the next batch. */
  get nextWrite (): KeyWrite {
    return { key: this.request.key, modRevision: this.#modRevision, record: this.#nextRecord }
  }

  /**
   * Starts concluding: the next write stores the outcome or deletes the claim.
   *
   * @param conclusion - how the request ended
   */
  conclude (conclusion: Conclusion): void {
    this.phase = EntryPhase.Concluding
    switch (conclusion.type) {
      case 'not_run':
        this.#nextRecord = null
        break
      case 'done':
        this.#nextRecord = { ...this.#claim, state: KeyState.Done, outcome: conclusion.outcome }
        break
      case 'unknown':
        this.#nextRecord = { ...this.#claim, state: KeyState.Unknown }
    }
  }

  /**
   * Records that the write took effect.
   *
   * @param revision - store revision of the write
   * @returns the consequence for the entry
   */
  applyWritten (revision: number): WriteResult {
    this.#modRevision = revision
    return this.phase === EntryPhase.Claiming ? 'held' : 'concluded'
  }

  /**
   * Compares the stored record with the one to write, after the store refused the batch.
   *
   * @param stored - the key's record in the store; null if there is none
   * @returns the consequence for the entry
   */
  applyRefused (stored: StoredRecord | null): WriteResult {
    const isOwn = stored?.record.token === this.token
    if (stored !== null && !isOwn) return 'taken'
    if (this.phase === EntryPhase.Claiming) return stored === null ? 'repeat' : this.applyWritten(stored.modRevision)
    if (stored === null) return this.#applyMissing()
    if (stored.record.state !== KeyState.Claimed) return 'concluded'
    this.#modRevision = stored.modRevision
    return 'repeat'
  }

  #applyMissing (): WriteResult {
    if (this.#nextRecord === null) return 'concluded'
    this.#modRevision = 0
    return 'missing'
  }
}
