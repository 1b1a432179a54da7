/** One node's claims of idempotency keys in the key-value service, many to a write. */
import { assertNever } from '../types.js'
import { CLAIM_TIMEOUT_MS, CONCLUSION_MARGIN_MS, EXPIRY_PERIOD_MS, IN_PROGRESS_RETRY_MS, MAX_BATCHES_IN_FLIGHT, MAX_BATCH_BYTES, MAX_BATCH_KEYS, MAX_ENTRIES, OUTCOME_WAIT_MS } from './constants.js'
import { EntryPhase, KeyEntry } from './KeyEntry.js'
import { RecordCache, sizeOfRecord } from './RecordCache.js'
import { WritePace } from './WritePace.js'
import { KeyState } from './types.js'
import type { Millis } from '../types.js'
import type { ClaimOrder, ClaimResult, Conclusion, HeldRecord, KeyDigest, KeyRecord, RegisterEffect, RegisterEvent } from './types.js'
import type { Settlement, WaitingCaller } from './KeyEntry.js'
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator'

/**
 * A key is answered as claimed only after this node's token was seen in the store. A write whose answer was lost is repeated
 * as it was; if the first took effect, the repetition fails and shows the token. A claim without an outcome is never run again.
 */
export class IdempotencyRegister {
  readonly #owner: string
  readonly #pace: WritePace
  readonly #entries = new Map<KeyDigest, KeyEntry>()
  readonly #cache = new RecordCache()
  readonly #batches = new Map<number, readonly KeyEntry[]>()
  /** Groups that were refused because of other keys; they go again without new keys, so that repeated keys hold nobody up. */
  readonly #verified: KeyEntry[][] = []
  #queue: KeyEntry[] = []
  #nextExpiryAt: Millis = 0
  #lastBatch = 0
  #effects: RegisterEffect[] = []
  #now: Millis = 0
  #wallTime = 0

  /**
   * @param owner - this node's name, for the records
   * @param rng - spreads the pauses of many nodes
   */
  constructor (owner: string, rng: RandomGenerator) {
    this.#owner = owner
    this.#pace = new WritePace(rng)
  }

  /** Keys being claimed, held or concluded. */
  get size (): number {
    return this.#entries.size
  }

  /** Bytes of concluded records kept for replay. */
  get cachedBytes (): number {
    return this.#cache.bytes
  }

  /**
   * Takes an event.
   *
   * @param event - what happened
   * @param now - the monotonic clock
   * @param wallTime - milliseconds since the epoch
   * @returns what to do
   */
  handle (event: RegisterEvent, now: Millis, wallTime: number): RegisterEffect[] {
    this.#now = now
    this.#wallTime = wallTime
    this.#effects = []
    this.#take(event)
    this.#expireCallers()
    this.#fillBatches()
    this.#setTimer()
    return this.#effects
  }

  #take (event: RegisterEvent): void {
    switch (event.type) {
      case 'claim':
        return this.#claim(event.order)
      case 'conclude': {
        const entry = this.#entries.get(event.key)
        if (entry?.token === event.token && entry.phase === EntryPhase.Held) this.#conclude(entry, event.conclusion)
        return
      }
      case 'written':
        this.#pace.succeeded(this.#now)
        return this.#takeBatch(event.batch).forEach((entry) => this.#settle(entry, entry.written(event.revision), null))
      case 'refused':
        this.#pace.succeeded(this.#now)
        return this.#refused(this.#takeBatch(event.batch), event.held)
      case 'not_written':
        return this.#notWritten(event.batch, event.overloaded)
      case 'answer_lost':
        this.#pace.failed(this.#now)
        return this.#takeBatch(event.batch).forEach((entry) => {
          entry.maybeWritten ||= entry.phase === EntryPhase.Claiming
          this.#queue.push(entry)
        })
      case 'share_changed':
        return this.#pace.setShare(event.writesPerSecond)
      case 'ticked':
        return
      default:
        return assertNever(event)
    }
  }

  #conclude (entry: KeyEntry, conclusion: Conclusion): void {
    entry.conclude(conclusion)
    if (entry.target !== null) this.#answerWaiting(entry, entry.target)
    this.#queue.push(entry)
  }

  #claim (order: ClaimOrder): void {
    const concluded = this.#cache.find(order.key)
    if (concluded !== null) return this.#answer(order, this.#resultOf(concluded, order))
    const entry = this.#entries.get(order.key)
    if (entry !== undefined) return this.#join(entry, order)
    if (this.#entries.size >= MAX_ENTRIES) return this.#unavailable(order, 'too many keys are in progress')
    if (this.#isOut()) return this.#unavailable(order, 'the key-value service does not answer')
    this.#open(order)
  }

  /** During an outage one write at a time tries the store; claims besides it are refused at once. */
  #isOut (): boolean {
    return this.#pace.isFailing && (this.#now < this.#pace.nextAt || this.#batches.size > 0)
  }

  #open (order: ClaimOrder): KeyEntry {
    const entry = new KeyEntry(order, this.#owner, this.#wallTime)
    entry.callers = [{ order, until: this.#now + Math.min(CLAIM_TIMEOUT_MS, order.timeLimit) }]
    this.#entries.set(order.key, entry)
    this.#queue.push(entry)
    return entry
  }

  #join (entry: KeyEntry, order: ClaimOrder): void {
    if (entry.order.body !== order.body) return this.#answer(order, { type: 'conflict' })
    if (entry.phase === EntryPhase.Concluding && entry.target !== null) return this.#answer(order, this.#resultOf(entry.target, order))
    const wait = entry.phase === EntryPhase.Claiming ? CLAIM_TIMEOUT_MS : OUTCOME_WAIT_MS
    entry.callers.push({ order, until: this.#now + Math.min(wait, order.timeLimit) })
  }

  #refused (entries: readonly KeyEntry[], held: ReadonlyArray<HeldRecord | null>): void {
    const queued = this.#queue
    this.#queue = []
    entries.forEach((entry, index) => this.#settle(entry, entry.refused(held[index] ?? null), held[index] ?? null))
    if (this.#queue.length > 0) this.#verified.push(this.#queue)
    this.#queue = queued
  }

  #settle (entry: KeyEntry, settlement: Settlement, held: HeldRecord | null): void {
    switch (settlement) {
      case 'held':
        return this.#hold(entry)
      case 'concluded':
        return this.#finish(entry)
      case 'missing':
        this.#effects.push({ type: 'report_missing', key: entry.order.key })
        return void this.#queue.push(entry)
      case 'repeat':
        return void this.#queue.push(entry)
      case 'taken':
        return this.#yield(entry, held!.record)
      default:
        return assertNever(settlement)
    }
  }

  #hold (entry: KeyEntry): void {
    const [first, ...others] = entry.callers
    if (first === undefined) {
      entry.conclude({ type: 'not_run' })
      return void this.#queue.push(entry)
    }
    entry.phase = EntryPhase.Held
    entry.heldUntil = this.#now + first.order.timeLimit + CONCLUSION_MARGIN_MS
    entry.callers = others.map(({ order }) => ({ order, until: this.#now + Math.min(OUTCOME_WAIT_MS, order.timeLimit) }))
    this.#answer(first.order, { type: 'claimed', claim: entry.token })
  }

  #finish (entry: KeyEntry): void {
    const { key } = entry.order
    this.#entries.delete(key)
    if (entry.target !== null) return this.#cache.keep(key, entry.target)
    const [next, ...others] = entry.callers
    if (next !== undefined) this.#open(next.order).callers.push(...others)
  }

  /** Another claim stands in the store. */
  #yield (entry: KeyEntry, record: KeyRecord): void {
    const { key } = entry.order
    this.#entries.delete(key)
    if (entry.phase !== EntryPhase.Claiming) this.#effects.push({ type: 'report_taken', key, owner: record.owner })
    if (record.state !== KeyState.Claimed) this.#cache.keep(key, record)
    this.#answerWaiting(entry, record)
  }

  #answerWaiting (entry: KeyEntry, record: KeyRecord): void {
    for (const { order } of entry.callers.splice(0)) this.#answer(order, this.#resultOf(record, order))
  }

  #resultOf (record: KeyRecord, order: ClaimOrder): ClaimResult {
    if (record.body !== null && record.body !== order.body) return { type: 'conflict' }
    if (record.state === KeyState.Done && record.outcome !== null) return { type: 'replay', outcome: record.outcome }
    if (record.state !== KeyState.Claimed) return { type: 'unknown' }
    const left = record.claimedAt + record.timeLimit + CONCLUSION_MARGIN_MS - this.#wallTime
    return left > 0 ? { type: 'in_progress', retryAfter: Math.min(left, IN_PROGRESS_RETRY_MS) } : { type: 'unknown' }
  }

  #notWritten (batch: number, overloaded: boolean): void {
    if (overloaded) this.#pace.overloaded(this.#now)
    else this.#pace.failed(this.#now)
    for (const entry of this.#takeBatch(batch)) {
      this.#queue.push(entry)
      if (overloaded) continue
      this.#refuseCallers(entry, 'the key-value service does not answer')
    }
  }

  /** Answers the callers of a claim that was not written, and forgets the claim unless an earlier write may have taken effect. */
  #refuseCallers (entry: KeyEntry, reason: string): void {
    if (entry.phase !== EntryPhase.Claiming) return
    for (const { order } of entry.callers.splice(0)) this.#unavailable(order, reason)
    this.#forgetUnwritten(entry)
  }

  #forgetUnwritten (entry: KeyEntry): void {
    if (entry.phase !== EntryPhase.Claiming || entry.maybeWritten || entry.inFlight || entry.callers.length > 0) return
    this.#entries.delete(entry.order.key)
    entry.dropped = true
  }

  #expireCallers (): void {
    if (this.#now < this.#nextExpiryAt) return
    this.#nextExpiryAt = this.#now + EXPIRY_PERIOD_MS
    for (const entry of this.#entries.values()) {
      if (entry.phase === EntryPhase.Held && entry.heldUntil <= this.#now) this.#conclude(entry, { type: 'unknown' })
      if (entry.callers.length === 0 || entry.callers.every(({ until }) => until > this.#now)) continue
      const late = entry.callers.filter(({ until }) => until <= this.#now)
      entry.callers = entry.callers.filter(({ until }) => until > this.#now)
      for (const caller of late) this.#expire(entry, caller)
      this.#forgetUnwritten(entry)
    }
  }

  #expire (entry: KeyEntry, { order }: WaitingCaller): void {
    if (entry.phase === EntryPhase.Claiming) this.#unavailable(order, 'the key-value service did not answer in time')
    else this.#answer(order, { type: 'in_progress', retryAfter: IN_PROGRESS_RETRY_MS })
  }

  #fillBatches (): void {
    if (!this.#mayWrite() || this.#now < this.#pace.nextAt) return
    const entries = this.#verified.shift()?.filter((entry) => !entry.dropped) ?? this.#takeQueued()
    if (entries.length === 0) return
    for (const entry of entries) entry.inFlight = true
    this.#lastBatch += 1
    this.#batches.set(this.#lastBatch, entries)
    this.#pace.wrote(this.#now)
    this.#effects.push({ type: 'write', batch: this.#lastBatch, writes: entries.map((entry) => entry.write) })
  }

  #mayWrite (): boolean {
    return this.#batches.size < (this.#pace.isFailing ? 1 : MAX_BATCHES_IN_FLIGHT)
  }

  #takeQueued (): KeyEntry[] {
    const taken: KeyEntry[] = []
    let bytes = 0
    let passed = 0
    for (const entry of this.#queue) {
      bytes += sizeOfRecord(entry.target)
      if (taken.length >= MAX_BATCH_KEYS || (taken.length > 0 && bytes > MAX_BATCH_BYTES)) break
      passed += 1
      if (!entry.dropped) taken.push(entry)
    }
    this.#queue = this.#queue.slice(passed)
    return taken
  }

  #takeBatch (batch: number): readonly KeyEntry[] {
    const entries = this.#batches.get(batch) ?? []
    this.#batches.delete(batch)
    for (const entry of entries) entry.inFlight = false
    return entries
  }

  #answer (order: ClaimOrder, result: ClaimResult): void {
    this.#effects.push({ type: 'answer', token: order.token, result })
  }

  #unavailable (order: ClaimOrder, reason: string): void {
    const retryAfter = Math.max(IN_PROGRESS_RETRY_MS, this.#pace.nextAt - this.#now)
    this.#answer(order, { type: 'unavailable', retryAfter, reason })
  }

  #setTimer (): void {
    if (!this.#mayWrite() || (this.#queue.length === 0 && this.#verified.length === 0)) return
    this.#effects.push({ type: 'set_timer', at: Math.max(this.#pace.nextAt, this.#now) })
  }
}
