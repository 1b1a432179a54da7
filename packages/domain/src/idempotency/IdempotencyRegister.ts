/** Claims and concludes idempotency keys in the key-value service for one node, many keys per write. */
import { assertNever } from '../types.js'
import { CLAIM_TIMEOUT_MS, CONCLUSION_MARGIN_MS, EXPIRY_CHECK_INTERVAL_MS, IN_PROGRESS_RETRY_MS, MAX_BATCHES_IN_FLIGHT, MAX_BATCH_BYTES, MAX_BATCH_KEYS, MAX_ENTRIES, OUTCOME_WAIT_MS } from './constants.js'
import { EntryPhase, KeyEntry } from './KeyEntry.js'
import { RecordCache, sizeOfRecord } from './RecordCache.js'
import { WriteRateLimiter } from './WriteRateLimiter.js'
import { KeyState } from './types.js'
import type { Millis } from '../types.js'
import type { ClaimRequest, ClaimResult, Conclusion, StoredRecord, KeyDigest, KeyRecord, RegisterEffect, RegisterEvent } from './types.js'
import type { WriteResult, WaitingCaller } from './KeyEntry.js'
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator'

/**
 * State machine of all keys that one node is claiming, running or concluding.
 *
 * A caller gets the result `claimed` only after the store has confirmed this node's token. A write whose response was lost
 * is repeated unchanged; if the first write took effect, the repetition is refused and returns the token. After a claim
 * without a recorded outcome, the request is never run again.
 */
export class IdempotencyRegister {
  readonly #owner: string
  readonly #writeLimiter: WriteRateLimiter
  readonly #entries = new Map<KeyDigest, KeyEntry>()
  readonly #cache = new RecordCache()
  readonly #batches = new Map<number, readonly KeyEntry[]>()
  /** Entries of refused batches to write again. Each group is written without new keys, so that repeated keys cannot delay it further. */
  readonly #refusedBatches: KeyEntry[][] = []
  #queue: KeyEntry[] = []
  #nextExpiryAt: Millis = 0
  #lastBatch = 0
  #effects: RegisterEffect[] = []
  #now: Millis = 0
  #wallTime = 0

  /**
   * @param owner - this node's name, stored in the records
   * @param rng - adds jitter to the backoff, so that nodes do not retry at the same time
   */
  constructor (owner: string, rng: RandomGenerator) {
    this.#owner = owner
    this.#writeLimiter = new WriteRateLimiter(rng)
  }

  /** Number of keys that are being claimed, are held while their request runs, or are being concluded. */
  get size (): number {
    return this.#entries.size
  }

  /** Estimated size of the cached concluded records, in bytes. */
  get cachedBytes (): number {
    return this.#cache.bytes
  }

  /**
   * Applies an event.
   *
   * @param event - the event
   * @param now - current time of the monotonic clock
   * @param wallTime - current wall time, in milliseconds since the epoch
   * @returns the effects to carry out, in order
   */
  handle (event: RegisterEvent, now: Millis, wallTime: number): RegisterEffect[] {
    this.#now = now
    this.#wallTime = wallTime
    this.#effects = []
    this.#apply(event)
    this.#expireWaits()
    this.#writeNextBatch()
    this.#setTimer()
    return this.#effects
  }

  #apply (event: RegisterEvent): void {
    switch (event.type) {
      case 'claim':
        return this.#claim(event.request)
      case 'conclude': {
        const entry = this.#entries.get(event.key)
        if (entry?.token === event.token && entry.phase === EntryPhase.Held) this.#conclude(entry, event.conclusion)
        else if (entry?.token !== event.token) this.#effects.push({ type: 'concluded', token: event.token })
        return
      }
      case 'written':
        this.#writeLimiter.recordSuccess(this.#now)
        return this.#removeBatch(event.batch).forEach((entry) => this.#applyWriteResult(entry, entry.applyWritten(event.revision), null))
      case 'refused':
        this.#writeLimiter.recordSuccess(this.#now)
        return this.#handleRefused(this.#removeBatch(event.batch), event.stored)
      case 'not_written':
        return this.#handleNotWritten(event.batch, event.overloaded)
      case 'answer_lost':
        this.#writeLimiter.recordFailure(this.#now)
        return this.#removeBatch(event.batch).forEach((entry) => {
          entry.mayBeWritten ||= entry.phase === EntryPhase.Claiming
          this.#queue.push(entry)
        })
      case 'share_changed':
        return this.#writeLimiter.setShare(event.writesPerSecond)
      case 'ticked':
        return
      default:
        return assertNever(event)
    }
  }

  #conclude (entry: KeyEntry, conclusion: Conclusion): void {
    entry.conclude(conclusion)
    if (entry.nextRecord !== null) this.#answerCallers(entry, entry.nextRecord)
    this.#queue.push(entry)
  }

  #claim (request: ClaimRequest): void {
    const concluded = this.#cache.find(request.key)
    if (concluded !== null) return this.#answer(request, this.#resultOf(concluded, request))
    const entry = this.#entries.get(request.key)
    if (entry !== undefined) return this.#joinEntry(entry, request)
    if (this.#entries.size >= MAX_ENTRIES) return this.#answerUnavailable(request, 'too many keys are in progress')
    if (this.#isStoreUnavailable()) return this.#answerUnavailable(request, 'the key-value service does not answer')
    this.#addEntry(request)
  }

  /** Whether to refuse new keys: during an outage one write at a time probes the store, and other claims are refused immediately. */
  #isStoreUnavailable (): boolean {
    return this.#writeLimiter.isFailing && (this.#now < this.#writeLimiter.nextWriteAt || this.#batches.size > 0)
  }

  #addEntry (request: ClaimRequest): KeyEntry {
    const entry = new KeyEntry(request, this.#owner, this.#wallTime)
    entry.callers = [{ request, until: this.#now + Math.min(CLAIM_TIMEOUT_MS, request.timeLimit) }]
    this.#entries.set(request.key, entry)
    this.#queue.push(entry)
    return entry
  }

  #joinEntry (entry: KeyEntry, request: ClaimRequest): void {
    if (entry.request.body !== request.body) return this.#answer(request, { type: 'conflict' })
    if (entry.phase === EntryPhase.Concluding && entry.nextRecord !== null) return this.#answer(request, this.#resultOf(entry.nextRecord, request))
    const wait = entry.phase === EntryPhase.Claiming ? CLAIM_TIMEOUT_MS : OUTCOME_WAIT_MS
    entry.callers.push({ request, until: this.#now + Math.min(wait, request.timeLimit) })
  }

  #handleRefused (entries: readonly KeyEntry[], stored: ReadonlyArray<StoredRecord | null>): void {
    const queued = this.#queue
    this.#queue = []
    entries.forEach((entry, index) => this.#applyWriteResult(entry, entry.applyRefused(stored[index] ?? null), stored[index] ?? null))
    if (this.#queue.length > 0) this.#refusedBatches.push(this.#queue)
    this.#queue = queued
  }

  #applyWriteResult (entry: KeyEntry, result: WriteResult, stored: StoredRecord | null): void {
    switch (result) {
      case 'held':
        return this.#confirmClaim(entry)
      case 'concluded':
        return this.#removeConcluded(entry)
      case 'missing':
        this.#effects.push({ type: 'report_missing', key: entry.request.key })
        return void this.#queue.push(entry)
      case 'repeat':
        return void this.#queue.push(entry)
      case 'taken':
        return this.#removeSuperseded(entry, stored!.record)
      default:
        return assertNever(result)
    }
  }

  #confirmClaim (entry: KeyEntry): void {
    const [first, ...others] = entry.callers
    if (first === undefined) {
      entry.conclude({ type: 'not_run' })
      return void this.#queue.push(entry)
    }
    entry.phase = EntryPhase.Held
    entry.heldUntil = this.#now + first.request.timeLimit + CONCLUSION_MARGIN_MS
    entry.callers = others.map(({ request: waiting }) => ({ request: waiting, until: this.#now + Math.min(OUTCOME_WAIT_MS, waiting.timeLimit) }))
    this.#answer(first.request, { type: 'claimed', claim: entry.token })
  }

  #removeConcluded (entry: KeyEntry): void {
    const { key } = entry.request
    this.#entries.delete(key)
    this.#effects.push({ type: 'concluded', token: entry.token })
    if (entry.nextRecord !== null) return this.#cache.add(key, entry.nextRecord)
    const [next, ...others] = entry.callers
    if (next !== undefined) this.#addEntry(next.request).callers.push(...others)
  }

  /** Removes an entry whose key carries another claim in the store, and answers its callers from that record. */
  #removeSuperseded (entry: KeyEntry, record: KeyRecord): void {
    const { key } = entry.request
    this.#entries.delete(key)
    if (entry.phase !== EntryPhase.Claiming) {
      this.#effects.push({ type: 'report_taken', key, owner: record.owner }, { type: 'concluded', token: entry.token })
    }
    if (record.state !== KeyState.Claimed) this.#cache.add(key, record)
    this.#answerCallers(entry, record)
  }

  #answerCallers (entry: KeyEntry, record: KeyRecord): void {
    for (const { request } of entry.callers.splice(0)) this.#answer(request, this.#resultOf(record, request))
  }

  #resultOf (record: KeyRecord, request: ClaimRequest): ClaimResult {
    if (record.body !== null && record.body !== request.body) return { type: 'conflict' }
    if (record.state === KeyState.Done && record.outcome !== null) return { type: 'replay', outcome: record.outcome }
    if (record.state !== KeyState.Claimed) return { type: 'unknown' }
    const remaining = record.claimedAt + record.timeLimit + CONCLUSION_MARGIN_MS - this.#wallTime
    return remaining > 0 ? { type: 'in_progress', retryAfter: Math.min(remaining, IN_PROGRESS_RETRY_MS) } : { type: 'unknown' }
  }

  #handleNotWritten (batch: number, overloaded: boolean): void {
    if (overloaded) this.#writeLimiter.recordOverload(this.#now)
    else this.#writeLimiter.recordFailure(this.#now)
    for (const entry of this.#removeBatch(batch)) {
      this.#queue.push(entry)
      if (overloaded) continue
      this.#refuseCallers(entry, 'the key-value service does not answer')
    }
  }

  /** Refuses the callers of a claim that was not written, and discards the claim unless an earlier write may have taken effect. */
  #refuseCallers (entry: KeyEntry, reason: string): void {
    if (entry.phase !== EntryPhase.Claiming) return
    for (const { request } of entry.callers.splice(0)) this.#answerUnavailable(request, reason)
    this.#discardUnwritten(entry)
  }

  #discardUnwritten (entry: KeyEntry): void {
    if (entry.phase !== EntryPhase.Claiming || entry.mayBeWritten || entry.isInFlight || entry.callers.length > 0) return
    this.#entries.delete(entry.request.key)
    entry.isDiscarded = true
  }

  #expireWaits (): void {
    if (this.#now < this.#nextExpiryAt) return
    this.#nextExpiryAt = this.#now + EXPIRY_CHECK_INTERVAL_MS
    for (const entry of this.#entries.values()) {
      if (entry.phase === EntryPhase.Held && entry.heldUntil <= this.#now) this.#conclude(entry, { type: 'unknown' })
      if (entry.callers.length === 0 || entry.callers.every(({ until }) => until > this.#now)) continue
      const expired = entry.callers.filter(({ until }) => until <= this.#now)
      entry.callers = entry.callers.filter(({ until }) => until > this.#now)
      for (const caller of expired) this.#answerExpired(entry, caller)
      this.#discardUnwritten(entry)
    }
  }

  #answerExpired (entry: KeyEntry, { request }: WaitingCaller): void {
    if (entry.phase === EntryPhase.Claiming) this.#answerUnavailable(request, 'the key-value service did not answer in time')
    else this.#answer(request, { type: 'in_progress', retryAfter: IN_PROGRESS_RETRY_MS })
  }

  #writeNextBatch (): void {
    if (!this.#mayWrite() || this.#now < this.#writeLimiter.nextWriteAt) return
    const entries = this.#refusedBatches.shift()?.filter((entry) => !entry.isDiscarded) ?? this.#dequeueBatch()
    if (entries.length === 0) return
    for (const entry of entries) entry.isInFlight = true
    this.#lastBatch += 1
    this.#batches.set(this.#lastBatch, entries)
    this.#writeLimiter.recordWrite(this.#now)
    this.#effects.push({ type: 'write', batch: this.#lastBatch, writes: entries.map((entry) => entry.nextWrite) })
  }

  #mayWrite (): boolean {
    return this.#batches.size < (this.#writeLimiter.isFailing ? 1 : MAX_BATCHES_IN_FLIGHT)
  }

  #dequeueBatch (): KeyEntry[] {
    const batch: KeyEntry[] = []
    let bytes = 0
    let removed = 0
    for (const entry of this.#queue) {
      bytes += sizeOfRecord(entry.nextRecord)
      if (batch.length >= MAX_BATCH_KEYS || (batch.length > 0 && bytes > MAX_BATCH_BYTES)) break
      removed += 1
      if (!entry.isDiscarded) batch.push(entry)
    }
    this.#queue = this.#queue.slice(removed)
    return batch
  }

  #removeBatch (batch: number): readonly KeyEntry[] {
    const entries = this.#batches.get(batch) ?? []
    this.#batches.delete(batch)
    for (const entry of entries) entry.isInFlight = false
    return entries
  }

  #answer (request: ClaimRequest, result: ClaimResult): void {
    this.#effects.push({ type: 'answer', token: request.token, result })
  }

  #answerUnavailable (request: ClaimRequest, reason: string): void {
    const retryAfter = Math.max(IN_PROGRESS_RETRY_MS, this.#writeLimiter.nextWriteAt - this.#now)
    this.#answer(request, { type: 'unavailable', retryAfter, reason })
  }

  #setTimer (): void {
    if (!this.#mayWrite() || (this.#queue.length === 0 && this.#refusedBatches.length === 0)) return
    this.#effects.push({ type: 'set_timer', at: Math.max(this.#writeLimiter.nextWriteAt, this.#now) })
  }
}
