/** Accounts for the slots, the memory and the learned rates of one runner of a dispatcher. */
import type { AttemptId, FailureDomain, Millis, RunnerId, Tokens } from '../types.js'
import { LONG_CLASS } from './constants.js'
import { Reservations } from './groups/Reservations.js'
import { LearnedRate } from './LearnedRate.js'
import type { LiveAttempt } from './LiveAttempt.js'
import { PrefixIndex } from './PrefixIndex.js'
import type { DispatchOrder, HeldAttempt, RunnerReport } from './types.js'

/** Weight of the newest sample in the learned interference. */
const INTERFERENCE_WEIGHT = 0.3

/** An attempt that the engine reports and that has no grant of this dispatcher. */
export interface UnknownAttempt {
  readonly attempt: AttemptId
  readonly heldTokens: Tokens
  /** Time at which a report first listed the attempt. */
  readonly seenAt: Millis
  /** Time at which the engine accepted the attempt. */
  readonly startedAt: Millis
}

/** The fields of an order that determine which runners can serve it. */
export type OrderTarget = Pick<DispatchOrder, 'model' | 'version' | 'adapter' | 'excluded'>

/** Slots, memory, learned rates and prefix cache of one runner. */
export class Runner {
  readonly id: RunnerId
  readonly failureDomain: FailureDomain
  readonly assignedAt: Millis
  readonly prefixes = new PrefixIndex()
  /** Memory reserved for members of sequence groups. */
  readonly reservations = new Reservations()
  readonly attempts = new Map<AttemptId, LiveAttempt>()
  readonly unknownAttempts = new Map<AttemptId, UnknownAttempt>()
  isLeaving = false
  isDraining = false
  isUnreachable = false
  #report: RunnerReport | null = null
  readonly #prefillRate = new LearnedRate()
  /** Decode rate from the engine's reports; used until `#streamRate` has a sample. */
  readonly #decodeRate = new LearnedRate()
  /** Decode rate of the streams that this dispatcher granted. */
  readonly #streamRate = new LearnedRate()
  #interference = 1

  /**
   * @param id - id of the runner
   * @param failureDomain - failure domain of the runner
   * @param now - time at which this dispatcher took the runner over
   */
  constructor (id: RunnerId, failureDomain: FailureDomain, now: Millis) {
    this.id = id
    this.failureDomain = failureDomain
    this.assignedAt = now
  }

  get report (): RunnerReport | null {
    return this.#report
  }

  /** Prefill rate in tokens per second; 0 while unknown. */
  get prefillRate (): number {
    return this.#prefillRate.value
  }

  /** Decode rate of one stream in tokens per second; 0 while unknown. */
  get decodeRate (): number {
    return this.#streamRate.value || this.#decodeRate.value
  }

  get totalTokens (): Tokens {
    return this.#report?.totalTokens ?? 0
  }

  get slots (): number {
    return this.#report?.slots ?? 0
  }

  /** Slots that no granted attempt, unknown attempt or reservation uses. */
  get freeSlots (): number {
    return Math.max(0, this.slots - this.attempts.size - this.unknownAttempts.size - this.reservations.size)
  }

  /** KV cache memory, in tokens, that no granted attempt, unknown attempt or reservation can use. */
  get freeTokens (): Tokens {
    let used = this.reservations.tokens
    for (const attempt of this.attempts.values()) used += this.#roundUpToBlocks(attempt.reservedTokens)
    for (const attempt of this.unknownAttempts.values()) used += attempt.heldTokens
    return Math.max(0, this.totalTokens - used)
  }

  get chunkTokens (): Tokens {
    return this.#report?.chunkTokens ?? 0
  }

  /** Learned share of a longer pending prefill that a shorter prompt has to wait for; 1 until attempts show a lower one. */
  get interference (): number {
    return this.#interference
  }

  /** @returns the prompt tokens that are still to be prefilled */
  pendingPrefill (now: Millis): Tokens {
    const reported = this.unknownAttempts.size > 0 ? this.#report?.pendingPrefillTokens ?? 0 : 0
    return Math.max(reported, this.#sumPendingPrefill(now, () => true))
  }

  /** @returns pending prefill tokens, of length classes up to the given one (ahead) and above it (behind) */
  pendingAheadAndBehind (lengthClass: number, now: Millis): { readonly ahead: Tokens, readonly behind: Tokens } {
    const ahead = this.#sumPendingPrefill(now, (attempt) => attempt.lengthClass <= lengthClass)
    return { ahead, behind: this.#sumPendingPrefill(now, (attempt) => attempt.lengthClass > lengthClass) }
  }

  /** Number of granted attempts that are generating tokens. */
  get decodingAttempts (): number {
    let count = 0
    for (const attempt of this.attempts.values()) if (!attempt.isPrefilling) count += 1
    return count
  }

  /** Whether a long prompt is granted and has not generated its first token. */
  get hasLongPrefill (): boolean {
    for (const attempt of this.attempts.values()) if (attempt.isPrefilling && attempt.lengthClass >= LONG_CLASS) return true
    return false
  }

  /** Whether the runner may be granted to new orders. */
  get isUsable (): boolean {
    return this.#report !== null && !this.isLeaving && !this.isDraining && !this.isUnreachable && !this.#report.loading
  }

  /** @returns whether the runner has the model, version and adapter that the order names */
  serves (order: OrderTarget): boolean {
    const report = this.#report
    if (report === null || !this.isUsable || report.model !== order.model) return false
    if (order.version !== null && report.version !== order.version) return false
    if (order.adapter !== null && !report.adapters.includes(order.adapter)) return false
    return !order.excluded.includes(this.id)
  }

  /** @returns whether the order fits into the runner's memory if nothing else uses it */
  fitsWhenEmpty (order: DispatchOrder): boolean {
    return this.#roundUpToBlocks(order.promptTokens + order.maxTokens) <= this.totalTokens
  }

  /** @returns whether a slot and enough memory are free for the order */
  hasRoom (order: DispatchOrder): boolean {
    return this.freeSlots > 0 && this.#roundUpToBlocks(order.promptTokens + order.maxTokens) <= this.freeTokens
  }

  /** @returns the prompt tokens that the prefix cache saves; at least the last prompt token is always computed */
  cachedTokens (order: DispatchOrder): Tokens {
    const matched = this.prefixes.match(order.prefix, this.#report?.blockTokens ?? 0)
    return Math.min(matched, Math.max(0, order.promptTokens - 1))
  }

  /** Applies a report of the engine; attempts that it lists without a grant of this dispatcher become unknown attempts. */
  applyReport (report: RunnerReport, now: Millis): void {
    this.#report = report
    this.isUnreachable = false
    this.#prefillRate.learn(report.prefillRate)
    this.#decodeRate.learn(report.decodeRate)
    this.#reconcile(report.held, now)
  }

  /** Learns the interference of longer prefills from an attempt whose first token was just reported. */
  learnInterference (attempt: LiveAttempt, now: Millis): void {
    const { cachedTokens, ahead, behind } = attempt.load
    if (attempt.sentAt === null || this.prefillRate <= 0 || behind <= this.chunkTokens) return
    const timeAlone = (attempt.order.promptTokens - cachedTokens + ahead + this.chunkTokens) * 1_000 / this.prefillRate
    const longerPrefill = behind * 1_000 / this.prefillRate
    const sample = Math.min(1, Math.max(0, (now - attempt.sentAt - timeAlone) / longerPrefill))
    this.#interference += INTERFERENCE_WEIGHT * (sample - this.#interference)
  }

  /** Learns the decode rate from an attempt that has ended. */
  learnDecodeRate (attempt: LiveAttempt, now: Millis): void {
    if (attempt.firstTokenAt === null) return
    const decodeTime = now - attempt.firstTokenAt
    if (decodeTime > 0 && attempt.generated > 1) this.#streamRate.learn((attempt.generated - 1) * 1_000 / decodeTime)
  }

  /** Adds an attempt whose grant expired to the unknown attempts, because the engine may still run it. */
  markUnknown (attempt: LiveAttempt): void {
    const { id, reservedTokens, grantedAt } = attempt
    this.unknownAttempts.set(id, { attempt: id, heldTokens: reservedTokens, seenAt: grantedAt, startedAt: grantedAt })
  }

  #sumPendingPrefill (now: Millis, isCounted: (attempt: LiveAttempt) => boolean): Tokens {
    let pending = 0
    for (const attempt of this.attempts.values()) {
      if (isCounted(attempt)) pending += attempt.pendingPrefill(now, this.prefillRate)
    }
    return pending
  }

  #reconcile (held: readonly HeldAttempt[], now: Millis): void {
    const previous = new Map(this.unknownAttempts)
    this.unknownAttempts.clear()
    for (const { attempt, heldTokens, age } of held) {
      if (this.attempts.has(attempt) || this.reservations.has(attempt)) continue
      const seenAt = previous.get(attempt)?.seenAt ?? now
      this.unknownAttempts.set(attempt, { attempt, heldTokens, seenAt, startedAt: now - age })
    }
  }

  #roundUpToBlocks (tokens: Tokens): Tokens {
    const block = this.#report?.blockTokens ?? 1
    return Math.ceil(tokens / block) * block
  }
}
