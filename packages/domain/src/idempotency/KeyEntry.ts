/** One key that a node is claiming, holds or is concluding. */
import { KeyState } from './types.js'
import type { ClaimOrder, ClaimToken, Conclusion, HeldRecord, KeyRecord, KeyWrite } from './types.js'
import type { Millis } from '../types.js'

/** A caller that waits for its claim or for another caller's outcome. */
export interface WaitingCaller {
  readonly order: ClaimOrder
  readonly until: Millis
}

export const EntryPhase = {
  /** The claim is being written. */
  Claiming: 'claiming',
  /** The claim stands in the store; the request is being run. */
  Held: 'held',
  /** The outcome is being written, or the claim deleted. */
  Concluding: 'concluding'
} as const
export type EntryPhase = typeof EntryPhase[keyof typeof EntryPhase]

/** What the store's answer means for an entry. */
export type Settlement = 'held' | 'concluded' | 'repeat' | 'missing' | 'taken'

export class KeyEntry {
  readonly order: ClaimOrder
  readonly #claim: KeyRecord
  phase: EntryPhase = EntryPhase.Claiming
  /** Callers in the order in which they came; the first gets the claim. */
  callers: WaitingCaller[] = []
  /** Whether a write of the claim may have taken effect unseen. */
  maybeWritten = false
  inFlight = false
  /** When a claim that nobody concluded is concluded as unknown. */
  heldUntil: Millis = Infinity
  /** Forgotten before it was written. */
  dropped = false
  #target: KeyRecord | null
  #modRevision = 0

  /**
   * @param order - the first caller's order; its token stands in the record
   * @param owner - this node
   * @param wallTime - milliseconds since the epoch
   */
  constructor (order: ClaimOrder, owner: string, wallTime: number) {
    this.order = order
    const { token, timeLimit, body } = order
    this.#claim = { token, owner, claimedAt: wallTime, timeLimit, body, state: KeyState.Claimed, outcome: null }
    this.#target = this.#claim
  }

  /** The claim's token. */
  get token (): ClaimToken {
    return this.order.token
  }

  /** What the next write shall put; null deletes the key. */
  get target (): KeyRecord | null {
    return this.#target
  }

  /** The key's part of the next write. */
  get write (): KeyWrite {
    return { key: this.order.key, modRevision: this.#modRevision, record: this.#target }
  }

  /**
   * Turns to writing the outcome.
   *
   * @param conclusion - how the request ended
   */
  conclude (conclusion: Conclusion): void {
    this.phase = EntryPhase.Concluding
    switch (conclusion.type) {
      case 'not_run':
        this.#target = null
        break
      case 'done':
        this.#target = { ...this.#claim, state: KeyState.Done, outcome: conclusion.outcome }
        break
      case 'unknown':
        this.#target = { ...this.#claim, state: KeyState.Unknown }
    }
  }

  /**
   * Notes that the write took effect.
   *
   * @param revision - the store's revision of the write
   */
  written (revision: number): Settlement {
    this.#modRevision = revision
    return this.phase === EntryPhase.Claiming ? 'held' : 'concluded'
  }

  /**
   * Compares what the store holds with what this entry wants to write.
   *
   * @param held - the key's record; null where there is none
   * @returns what it means
   */
  refused (held: HeldRecord | null): Settlement {
    const isOwn = held?.record.token === this.token
    if (held !== null && !isOwn) return 'taken'
    if (this.phase === EntryPhase.Claiming) return held === null ? 'repeat' : this.written(held.modRevision)
    if (held === null) return this.#concludeMissing()
    if (held.record.state !== KeyState.Claimed) return 'concluded'
    this.#modRevision = held.modRevision
    return 'repeat'
  }

  #concludeMissing (): Settlement {
    if (this.#target === null) return 'concluded'
    this.#modRevision = 0
    return 'missing'
  }
}
