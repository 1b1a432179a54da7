/** Claims idempotency keys in the key-value service for the requests of one node. */
import { createHash, randomUUID } from 'node:crypto'

import type { RandomGenerator } from 'pure-rand/types/RandomGenerator'

import { IdempotencyRegister, MAX_ANSWER_LENGTH } from '@bluebellhill/domain'
import type { ClaimResult, ClaimToken, Conclusion, KeyDigest, KeyWrite, Millis, NodeId, OrganisationId, RecordedOutcome, RegisterEffect, RegisterEvent } from '@bluebellhill/domain'
import type { CallFailure, KeyValueService, Result, TransactionResponse } from '@bluebellhill/services'

import { KEY_PREFIX, TICK_PERIOD_MS } from './constants.js'
import { decodeRecord, encodeRecord } from './keyRecord.js'
import { RecordLeases } from './RecordLeases.js'

/** A report that the node writes to the time line, the log and the metrics. */
export type IdempotencyReport =
  /** A claim of this node is missing in the store. */
  | { readonly type: 'claim_missing', readonly key: KeyDigest }
  /** The store has another claim in place of this node's claim, so the request may have run twice. */
  | { readonly type: 'claim_taken', readonly key: KeyDigest, readonly owner: string }
  | { readonly type: 'store', readonly available: boolean, readonly reason: string }

export interface IdempotencyServiceOptions {
  readonly node: NodeId
  readonly keyValue: KeyValueService
  readonly rng: RandomGenerator
  /** Minimum time for which an outcome is kept. */
  readonly retention: Millis
  /** Monotonic clock in milliseconds. */
  readonly clock: () => Millis
  /** Wall time in milliseconds since the epoch. */
  readonly wallClock: () => number
  readonly report: (report: IdempotencyReport) => void
}

/** A request with an idempotency key. */
export interface KeyedRequest {
  readonly organisation: OrganisationId
  /** The caller's `Idempotency-Key`. */
  readonly key: string
  /** Method, path and body; a request with the same key is a repetition only if these are equal. */
  readonly body: Buffer | string
  /** Remaining time until the deadline of the request. */
  readonly timeLimit: Millis
}

/** A claimed key; `conclude` must be called for it once. */
export interface Claim {
  readonly key: KeyDigest
  readonly token: ClaimToken
}

/** Like `ClaimResult`, but `claimed` contains the claim to pass to `conclude`. */
export type KeyedResult = Exclude<ClaimResult, { type: 'claimed' }> | { readonly type: 'claimed', readonly claim: Claim }

/** Feeds claims and answers of the store to `IdempotencyRegister` and carries out its effects. */
export class IdempotencyService {
  readonly #options: IdempotencyServiceOptions
  readonly #register: IdempotencyRegister
  readonly #recordLeases: RecordLeases
  readonly #resultCallbacks = new Map<ClaimToken, (result: ClaimResult) => void>()
  readonly #conclusionCallbacks = new Map<ClaimToken, () => void>()
  readonly #tickTimer: NodeJS.Timeout
  #registerTimer: NodeJS.Timeout | null = null
  #isAvailable: boolean | null = null
  #isDisposed = false

  constructor (options: IdempotencyServiceOptions) {
    this.#options = options
    this.#register = new IdempotencyRegister(options.node, options.rng)
    this.#recordLeases = new RecordLeases(options.keyValue, options.retention, options.clock)
    this.#tickTimer = setInterval(() => { if (this.#register.size > 0) this.#handle({ type: 'ticked' }) }, TICK_PERIOD_MS)
  }

  /** Number of keys that are being claimed, are held while their request runs, or are being concluded. */
  get size (): number {
    return this.#register.size
  }

  /** Estimated size of the concluded records that are cached for replay, in bytes. */
  get cachedBytes (): number {
    return this.#register.cachedBytes
  }

  /**
   * Sets this node's share of the writes that the store allows; all nodes have equal shares.
   *
   * @param writesPerSecond - writes per second of the whole fleet
   * @param nodes - number of live nodes
   */
  setWriteShare (writesPerSecond: number, nodes: number): void {
    this.#handle({ type: 'share_changed', writesPerSecond: writesPerSecond / Math.max(1, nodes) })
  }

  /**
   * Claims a key. The request must not be sent to a backend server unless the result is `claimed`.
   *
   * @param request - the request and its key
   * @returns whether the request may run, and otherwise the result for the caller
   */
  async claim (request: KeyedRequest): Promise<KeyedResult> {
    const key = digestOf([request.organisation, request.key]) as KeyDigest
    const token = randomUUID() as ClaimToken
    const result = await new Promise<ClaimResult>((resolve) => {
      this.#resultCallbacks.set(token, resolve)
      this.#handle({ type: 'claim', request: { key, token, body: digestOf([request.body]), timeLimit: request.timeLimit } })
    })
    return result.type === 'claimed' ? { type: 'claimed', claim: { key, token: result.claim } } : result
  }

  /**
   * Records the outcome of a claimed request. An answer longer than `MAX_ANSWER_LENGTH` is recorded without its text.
   *
   * @param claim - the claim that `claim` returned
   * @param conclusion - how the request ended
   */
  conclude (claim: Claim, conclusion: Conclusion): void {
    this.#handle({ type: 'conclude', key: claim.key, token: claim.token, conclusion: omitLongAnswer(conclusion) })
  }

  /**
   * Releases the key of a request that has not run, so that the caller may use it again.
   *
   * @param claim - the claim that `claim` returned
   * @param limit - longest time to wait for the store
   * @returns whether the key is free in the store; if not, its release is written later
   */
  async release (claim: Claim, limit: Millis): Promise<boolean> {
    return await new Promise((resolve) => {
      const timer = setTimeout(() => this.#endWait(claim.token, () => resolve(false)), limit)
      this.#conclusionCallbacks.set(claim.token, () => {
        clearTimeout(timer)
        resolve(true)
      })
      this.conclude(claim, { type: 'not_run' })
    })
  }

  /** Stops the timers. Outcomes that are not yet written remain unknown to other nodes. */
  dispose (): void {
    this.#isDisposed = true
    clearInterval(this.#tickTimer)
    if (this.#registerTimer !== null) clearTimeout(this.#registerTimer)
  }

  /** Waits until every claim is concluded and written, or the time limit has passed; returns whether all are. */
  async waitUntilConcluded (limit: Millis): Promise<boolean> {
    const deadline = this.#options.clock() + limit
    while (this.#register.size > 0 && this.#options.clock() < deadline) await new Promise((resolve) => setTimeout(resolve, TICK_PERIOD_MS))
    return this.#register.size === 0
  }

  #handle (event: RegisterEvent): void {
    const { clock, wallClock } = this.#options
    for (const effect of this.#register.handle(event, clock(), wallClock())) this.#carryOut(effect)
  }

  #carryOut (effect: RegisterEffect): void {
    const { report, clock } = this.#options
    switch (effect.type) {
      case 'write':
        return void this.#write(effect.batch, effect.writes)
      case 'answer':
        this.#resultCallbacks.get(effect.token)?.(effect.result)
        return void this.#resultCallbacks.delete(effect.token)
      case 'concluded':
        return this.#endWait(effect.token, this.#conclusionCallbacks.get(effect.token))
      case 'report_missing':
        return report({ type: 'claim_missing', key: effect.key })
      case 'report_taken':
        return report({ type: 'claim_taken', key: effect.key, owner: effect.owner })
      case 'set_timer':
        if (this.#isDisposed) return
        if (this.#registerTimer !== null) clearTimeout(this.#registerTimer)
        this.#registerTimer = setTimeout(() => this.#handle({ type: 'ticked' }), Math.max(0, Math.ceil(effect.at - clock())))
    }
  }

  #endWait (token: ClaimToken, callback: (() => void) | undefined): void {
    this.#conclusionCallbacks.delete(token)
    callback?.()
  }

  async #write (batch: number, writes: readonly KeyWrite[]): Promise<void> {
    const lease = await this.#recordLeases.current()
    if (!lease.ok) return this.#handleFailure(batch, lease.failure, false)
    const result = await this.#options.keyValue.transact({
      compare: writes.map(({ key, modRevision }) => ({ target: 'mod', key: KEY_PREFIX + key, revision: modRevision })),
      success: writes.map(({ key, record }) => record === null
        ? { type: 'delete', key: KEY_PREFIX + key }
        : { type: 'put', key: KEY_PREFIX + key, value: encodeRecord(record), lease: lease.value }),
      failure: writes.map(({ key }) => ({ type: 'range', query: { key: KEY_PREFIX + key } }))
    })
    this.#applyTransactionResult(batch, writes, result)
  }

  #applyTransactionResult (batch: number, writes: readonly KeyWrite[], result: Result<TransactionResponse, CallFailure>): void {
    if (!result.ok) return this.#handleFailure(batch, result.failure, true)
    this.#reportAvailability(true, '')
    const { succeeded, revision, answers } = result.value
    if (succeeded) return this.#handle({ type: 'written', batch, revision })
    const storedRecords = writes.map((_write, index) => {
      const answer = answers[index]
      const entry = answer?.type === 'range' ? answer.values[0] : undefined
      return entry === undefined ? null : { modRevision: entry.modRevision, record: decodeRecord(entry.value) }
    })
    this.#handle({ type: 'refused', batch, revision, stored: storedRecords })
  }

  /** `mayHaveWrittenKeys` is false for a call that grants a lease: it writes no key, whatever its outcome. */
  #handleFailure (batch: number, failure: CallFailure, mayHaveWrittenKeys: boolean): void {
    const isOverloaded = 'status' in failure && failure.status === TOO_MANY_REQUESTS
    if (!isOverloaded) this.#reportAvailability(false, failure.reason)
    if ('status' in failure && failure.status === NOT_FOUND) this.#recordLeases.discard()
    const isRefusal = failure.type === 'rejected' && failure.status >= BAD_REQUEST && failure.status < SERVER_ERROR
    const isNotWritten = !mayHaveWrittenKeys || isRefusal || failure.type === 'not_sent' || failure.type === 'not_started'
    if (!isNotWritten) return this.#handle({ type: 'answer_lost', batch })
    this.#handle({ type: 'not_written', batch, overloaded: isOverloaded, retryAfter: 'retryAfter' in failure ? failure.retryAfter : null })
  }

  #reportAvailability (isAvailable: boolean, reason: string): void {
    if (this.#isAvailable === isAvailable) return
    this.#isAvailable = isAvailable
    this.#options.report({ type: 'store', available: isAvailable, reason })
  }
}

const TOO_MANY_REQUESTS = 429
const NOT_FOUND = 404
const BAD_REQUEST = 400
const SERVER_ERROR = 500

const digestOf = (fields: ReadonlyArray<Buffer | string>): string => {
  const hash = createHash('sha256')
  for (const field of fields) hash.update(`${field.length}\n`).update(field)
  return hash.digest('base64url')
}

const omitLongAnswer = (conclusion: Conclusion): Conclusion => {
  if (conclusion.type !== 'done' || (conclusion.outcome.answer?.length ?? 0) <= MAX_ANSWER_LENGTH) return conclusion
  const outcome: RecordedOutcome = { ...conclusion.outcome, answer: null }
  return { type: 'done', outcome }
}
