/** One runner as its dispatcher accounts for it. */
import type { AttemptId, FailureDomain, Millis, RunnerId, Tokens } from '../types.js'
import { LONG_CLASS } from './constants.js'
import { Reservations } from './groups/Reservations.js'
import { LearnedRate } from './LearnedRate.js'
import type { LiveAttempt } from './LiveAttempt.js'
import { PrefixIndex } from './PrefixIndex.js'
import type { DispatchOrder, HeldAttempt, RunnerReport } from './types.js'

/** Weight of the newest sample of interference. */
const INTERFERENCE_WEIGHT = 0.3

/** An attempt that the engine holds and this dispatcher did not grant. */
export interface UnknownAttempt {
  readonly attempt: AttemptId
  readonly heldTokens: Tokens
  /** When the dispatcher first saw it. */
  readonly seenAt: Millis
  /** When the engine took it in. */
  readonly startedAt: Millis
}

/** The parts of an order that say which runners have what it needs. */
export type OrderTarget = Pick<DispatchOrder, 'model' | 'version' | 'adapter' | 'excluded'>

/** Slots, memory, learned rates and prefix cache of one runner. */
export class Runner {
  readonly id: RunnerId
  readonly failureDomain: FailureDomain
  readonly assignedAt: Millis
  readonly prefixes = new PrefixIndex()
  /** Memory kept for sequence groups. */
  readonly reservations = new Reservations()
  readonly attempts = new Map<AttemptId, LiveAttempt>()
  readonly unknownAttempts = new Map<AttemptId, UnknownAttempt>()
  isLeaving = false
  isDraining = false
  isUnreachable = false
  #report: RunnerReport | null = null
  readonly #prefillRate = new LearnedRate()
  /** From reports; used until streams have shown more. */
  readonly #decodeRate = new LearnedRate()
  readonly #streamRate = new LearnedRate()
  #interference = 1

  /**
   * @param id - name of the runner
   * @param failureDomain - where it stands
   * @param now - when this dispatcher took it over
   */
  constructor (id: RunnerId, failureDomain: FailureDomain, now: Millis) {
    this.id = id
    this.failureDomain = failureDomain
    this.assignedAt = now
  }

  get report (): RunnerReport | null {
    return this.#report
  }

  /** Tokens a second; 0 while unknown. */
  get prefillRate (): number {
    return this.#prefillRate.value
  }

  /** Tokens a second of one stream; 0 while unknown. */
  get decodeRate (): number {
    return this.#streamRate.value || this.#decodeRate.value
  }

  get totalTokens (): Tokens {
    return this.#report?.totalTokens ?? 0
  }

  get slots (): number {
    return this.#report?.slots ?? 0
  }

  /** Slots that neither a granted nor an unknown attempt takes. */
  get freeSlots (): number {
    return Math.max(0, this.slots - this.attempts.size - this.unknownAttempts.size - this.reservations.size)
  }

  /** Memory that neither a granted nor an unknown attempt may come to hold. */
  get freeTokens (): Tokens {
    let used = this.reservations.tokens
    for (const attempt of this.attempts.values()) used += this.#roundUpToBlocks(attempt.reservedTokens)
    for (const attempt of this.unknownAttempts.values()) used += attempt.heldTokens
    return Math.max(0, this.totalTokens - used)
  }

  get chunkTokens (): Tokens {
    return this.#report?.chunkTokens ?? 0
  }

  /** Part of a longer prefill that a shorter prompt beside it waits for; 1 until the engine was seen to rank them. */
  get interference (): number {
    return this.#interference
  }

  /** @returns prompt tokens still to be computed */
  pendingPrefill (now: Millis): Tokens {
    const reported = this.unknownAttempts.size > 0 ? this.#report?.pendingPrefillTokens ?? 0 : 0
    return Math.max(reported, this.#sumPendingPrefill(now, () => true))
  }

  /** @returns prompt tokens still to be computed, of length classes up to and above one */
  pendingAheadAndBehind (lengthClass: number, now: Millis): { readonly ahead: Tokens, readonly behind: Tokens } {
    const ahead = this.#sumPendingPrefill(now, (attempt) => attempt.lengthClass <= lengthClass)
    return { ahead, behind: this.#sumPendingPrefill(now, (attempt) => attempt.lengthClass > lengthClass) }
  }

  /** Attempts that are generating tokens. */
  get decodingAttempts (): number {
    let count = 0
    for (const attempt of this.attempts.values()) if (!attempt.isPrefilling) count += 1
    return count
  }

  /** Whether a long prompt is being computed. */
  get hasLongPrefill (): boolean {
    for (const attempt of this.attempts.values()) if (attempt.isPrefilling && attempt.lengthClass >= LONG_CLASS) return true
    return false
  }

  /** Whether the runner may be given work. */
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

  /** @returns whether the order fits into the runner's memory when it is empty */
  fitsWhenEmpty (order: DispatchOrder): boolean {
    return this.#roundUpToBlocks(order.promptTokens + order.maxTokens) <= this.totalTokens
  }

  /** @returns whether a slot and memory are free for the order */
  hasRoom (order: DispatchOrder): boolean {
    return this.freeSlots > 0 && this.#roundUpToBlocks(order.promptTokens + order.maxTokens) <= this.freeTokens
  }

  /** @returns prompt tokens that the prefix cache spares */
  cachedTokens (order: DispatchOrder): Tokens {
    const matched = this.prefixes.match(order.prefix, this.#report?.blockTokens ?? 0)
    return Math.min(matched, Math.max(0, order.promptTokens - 1))
  }

  /** Takes a report in; attempts that it lists and nobody granted here become unknown ones. */
  applyReport (report: RunnerReport, now: Millis): void {
    this.#report = report
    this.isUnreachable = false
    this.#prefillRate.learn(report.prefillRate)
    this.#decodeRate.learn(report.decodeRate)
    this.#reconcile(report.held, now)
  }

  /** Learns from an attempt whose first token was just reported. */
  learnInterference (attempt: LiveAttempt, now: Millis): void {
    const { cachedTokens, ahead, behind } = attempt.load
    if (attempt.sentAt === null || this.prefillRate <= 0 || behind <= this.chunkTokens) return
    const timeAlone = (attempt.order.promptTokens - cachedTokens + ahead + this.chunkTokens) * 1_000 / this.prefillRate
    const longerPrefill = behind * 1_000 / this.prefillRate
    const sample = Math.min(1, Math.max(0, (now - attempt.sentAt - timeAlone) / longerPrefill))
    this.#interference += INTERFERENCE_WEIGHT * (sample - this.#interference)
  }

  /** Learns from an attempt that has ended. */
  learnDecodeRate (attempt: LiveAttempt, now: Millis): void {
    if (attempt.firstTokenAt === null) return
    const decodeTime = now - attempt.firstTokenAt
    if (decodeTime > 0 && attempt.generated > 1) this.#streamRate.learn((attempt.generated - 1) * 1_000 / decodeTime)
  }

  /** Counts a granted attempt as one that the engine may hold for an entry node not heard of. */
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
