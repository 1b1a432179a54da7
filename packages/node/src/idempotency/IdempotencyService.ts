/** Claims idempotency keys in the key-value service on behalf of the requests of one node. */
import { createHash, randomUUID } from 'node:crypto'

import type { RandomGenerator } from 'pure-rand/types/RandomGenerator'

import { IdempotencyRegister, MAX_ANSWER_LENGTH } from '@bluebellhill/domain'
import type { ClaimResult, ClaimToken, Conclusion, KeyDigest, KeyWrite, Millis, NodeId, OrganisationId, RecordedOutcome, RegisterEffect, RegisterEvent } from '@bluebellhill/domain'
import type { CallFailure, KeyValueService, Result, TransactionResponse } from '@bluebellhill/services'

import { KEY_PREFIX, TICK_MS } from './constants.js'
import { decodeRecord, encodeRecord } from './keyRecord.js'
import { LeaseBucket } from './LeaseBucket.js'

/** What the service tells the node, for the time line, the log and the metrics. */
export type IdempotencyReport =
  /** A claim of this node was gone from the store. */
  | { readonly type: 'claim_missing', readonly key: KeyDigest }
  /** Another claim stood in place of this node's: the request may have run twice. */
  | { readonly type: 'claim_taken', readonly key: KeyDigest, readonly owner: string }
  | { readonly type: 'store', readonly available: boolean, readonly reason: string }

export interface IdempotencyServiceOptions {
  readonly node: NodeId
  readonly keyValue: KeyValueService
  readonly rng: RandomGenerator
  /** Time that an outcome is kept. */
  readonly retention: Millis
  /** Monotonic clock in milliseconds. */
  readonly clock: () => Millis
  /** Wall time in milliseconds since the epoch. */
  readonly wallClock: () => number
  readonly report: (report: IdempotencyReport) => void
}

/** A request that wants to run under a key. */
export interface KeyedRequest {
  readonly organisation: OrganisationId
  /** The caller's `Idempotency-Key`. */
  readonly key: string
  /** Everything that makes the request the same: method, path and body. */
  readonly body: Buffer | string
  /** Time that the request has left. */
  readonly timeLimit: Millis
}

/** A key that was claimed; it has to be concluded once. */
export interface Claim {
  readonly key: KeyDigest
  readonly token: ClaimToken
}

/** As `ClaimResult`, with the claim to conclude. */
export type KeyedResult = Exclude<ClaimResult, { type: 'claimed' }> | { readonly type: 'claimed', readonly claim: Claim }

export class IdempotencyService {
  readonly #options: IdempotencyServiceOptions
  readonly #register: IdempotencyRegister
  readonly #lease: LeaseBucket
  readonly #waiting = new Map<ClaimToken, (result: ClaimResult) => void>()
  readonly #ticker: NodeJS.Timeout
  #timer: NodeJS.Timeout | null = null
  #available: boolean | null = null

  constructor (options: IdempotencyServiceOptions) {
    this.#options = options
    this.#register = new IdempotencyRegister(options.node, options.rng)
    this.#lease = new LeaseBucket(options.keyValue, options.retention, options.clock)
    this.#ticker = setInterval(() => { if (this.#register.size > 0) this.#handle({ type: 'ticked' }) }, TICK_MS)
  }

  /** Keys being claimed, held or concluded. */
  get size (): number {
    return this.#register.size
  }

  /** Bytes of concluded records kept for replay. */
  get cachedBytes (): number {
    return this.#register.cachedBytes
  }

  /**
   * Tells how many nodes share the store's writes.
   *
   * @param writesPerSecond - writes of the whole fleet
   * @param nodes - live nodes
   */
  share (writesPerSecond: number, nodes: number): void {
    this.#handle({ type: 'share_changed', writesPerSecond: writesPerSecond / Math.max(1, nodes) })
  }

  /**
   * Claims a key. Nothing may be sent for the request before the result is `claimed`.
   *
   * @param request - the request and its key
   * @returns whether it may run, and otherwise what to answer
   */
  async claim (request: KeyedRequest): Promise<KeyedResult> {
    const key = digestOf([request.organisation, request.key]) as KeyDigest
    const token = randomUUID() as ClaimToken
    const result = await new Promise<ClaimResult>((resolve) => {
      this.#waiting.set(token, resolve)
      this.#handle({ type: 'claim', request: { key, token, body: digestOf([request.body]), timeLimit: request.timeLimit } })
    })
    return result.type === 'claimed' ? { type: 'claimed', claim: { key, token: result.claim } } : result
  }

  /**
   * Concludes a claim. An answer above the bound is recorded without its text.
   *
   * @param claim - as it was returned
   * @param conclusion - how the request ended
   */
  conclude (claim: Claim, conclusion: Conclusion): void {
    this.#handle({ type: 'conclude', key: claim.key, token: claim.token, conclusion: withinBound(conclusion) })
  }

  /** Stops; outcomes that were not written yet stay unknown to other nodes. */
  dispose (): void {
    clearInterval(this.#ticker)
    if (this.#timer !== null) clearTimeout(this.#timer)
  }

  /** Resolves when every claim is concluded and written, or the time is over. */
  async settled (limit: Millis): Promise<boolean> {
    const end = this.#options.clock() + limit
    while (this.#register.size > 0 && this.#options.clock() < end) await new Promise((resolve) => setTimeout(resolve, TICK_MS))
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
        this.#waiting.get(effect.token)?.(effect.result)
        return void this.#waiting.delete(effect.token)
      case 'report_missing':
        return report({ type: 'claim_missing', key: effect.key })
      case 'report_taken':
        return report({ type: 'claim_taken', key: effect.key, owner: effect.owner })
      case 'set_timer':
        if (this.#timer !== null) clearTimeout(this.#timer)
        this.#timer = setTimeout(() => this.#handle({ type: 'ticked' }), Math.max(0, Math.ceil(effect.at - clock())))
    }
  }

  async #write (batch: number, writes: readonly KeyWrite[]): Promise<void> {
    const lease = await this.#lease.current()
    if (!lease.ok) return this.#failed(batch, lease.failure, false)
    const result = await this.#options.keyValue.transact({
      compare: writes.map(({ key, modRevision }) => ({ target: 'mod', key: KEY_PREFIX + key, revision: modRevision })),
      success: writes.map(({ key, record }) => record === null
        ? { type: 'delete', key: KEY_PREFIX + key }
        : { type: 'put', key: KEY_PREFIX + key, value: encodeRecord(record), lease: lease.value }),
      failure: writes.map(({ key }) => ({ type: 'range', query: { key: KEY_PREFIX + key } }))
    })
    this.#take(batch, writes, result)
  }

  #take (batch: number, writes: readonly KeyWrite[], result: Result<TransactionResponse, CallFailure>): void {
    if (!result.ok) return this.#failed(batch, result.failure, true)
    this.#report(true, '')
    const { succeeded, revision, answers } = result.value
    if (succeeded) return this.#handle({ type: 'written', batch, revision })
    const held = writes.map((_write, index) => {
      const answer = answers[index]
      const entry = answer?.type === 'range' ? answer.values[0] : undefined
      return entry === undefined ? null : { modRevision: entry.modRevision, record: decodeRecord(entry.value) }
    })
    this.#handle({ type: 'refused', batch, revision, stored: held })
  }

  /** A call for a lease wrote no key, whatever became of it. */
  #failed (batch: number, failure: CallFailure, wroteKeys: boolean): void {
    const overloaded = 'status' in failure && failure.status === TOO_MANY_REQUESTS
    if (!overloaded) this.#report(false, failure.reason)
    if ('status' in failure && failure.status === NOT_FOUND) this.#lease.forget()
    const isRefusal = failure.type === 'rejected' && failure.status >= BAD_REQUEST && failure.status < SERVER_ERROR
    const notWritten = !wroteKeys || isRefusal || failure.type === 'not_sent' || failure.type === 'not_started'
    if (!notWritten) return this.#handle({ type: 'answer_lost', batch })
    this.#handle({ type: 'not_written', batch, overloaded, retryAfter: 'retryAfter' in failure ? failure.retryAfter : null })
  }

  #report (available: boolean, reason: string): void {
    if (this.#available === available) return
    this.#available = available
    this.#options.report({ type: 'store', available, reason })
  }
}

const TOO_MANY_REQUESTS = 429
const NOT_FOUND = 404
const BAD_REQUEST = 400
const SERVER_ERROR = 500

const digestOf = (parts: ReadonlyArray<Buffer | string>): string => {
  const hash = createHash('sha256')
  for (const part of parts) hash.update(`${part.length}\n`).update(part)
  return hash.digest('base64url')
}

const withinBound = (conclusion: Conclusion): Conclusion => {
  if (conclusion.type !== 'done' || (conclusion.outcome.answer?.length ?? 0) <= MAX_ANSWER_LENGTH) return conclusion
  const outcome: RecordedOutcome = { ...conclusion.outcome, answer: null }
  return { type: 'done', outcome }
}
