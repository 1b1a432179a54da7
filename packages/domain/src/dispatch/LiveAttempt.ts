/** State of an attempt that was granted a runner, as its dispatcher tracks it. */
import type { AttemptId, Millis, NodeId, RunnerId, Tokens } from '../types.js'
import { lengthClassOf } from './lengthClasses.js'
import type { DispatchOrder } from './types.js'
import { ProgressKind } from './types.js'

/** Load of the runner at the time of the grant, and the estimate made for the order. */
export interface GrantLoad {
  /** Prompt tokens that were expected to be in the runner's prefix cache. */
  readonly cachedTokens: Tokens
  /** Pending prefill tokens of prompts of the same or a shorter length class. */
  readonly ahead: Tokens
  /** Pending prefill tokens of prompts of longer length classes. */
  readonly behind: Tokens
  /** Time at which the order arrived. */
  readonly queuedAt: Millis
  /** Time from arrival to completion, as estimated at arrival. */
  readonly expected: Millis
}

/** Phase, memory and expiry of one granted attempt. */
export class LiveAttempt {
  readonly order: DispatchOrder
  readonly runner: RunnerId
  readonly load: GrantLoad
  readonly grantedAt: Millis
  expiresAt: Millis
  isRecalled = false
  readonly #lengthClass: number
  #sentAt: Millis | null = null
  #lastReportAt: Millis
  #firstTokenAt: Millis | null = null
  /** Tokens that earlier attempts of the request generated; reports count all tokens of the request. */
  #tokensBefore: Tokens = 0
  #generated: Tokens = 0

  /**
   * @param order - the order that was granted
   * @param runner - the granted runner
   * @param now - time of the grant
   * @param expiresAt - time at which the attempt expires unless progress is reported
   * @param load - load of the runner
   */
  constructor (order: DispatchOrder, runner: RunnerId, now: Millis, expiresAt: Millis, load: GrantLoad) {
    this.order = order
    this.runner = runner
    this.grantedAt = now
    this.#lastReportAt = now
    this.expiresAt = expiresAt
    this.load = load
    this.#lengthClass = lengthClassOf(order.promptTokens)
  }

  get id (): AttemptId {
    return this.order.attempt
  }

  get entry (): NodeId {
    return this.order.entry
  }

  get lengthClass (): number {
    return this.#lengthClass
  }

  /** Most KV cache memory that the attempt can use, in tokens. */
  get reservedTokens (): Tokens {
    return this.order.promptTokens + this.order.maxTokens
  }

  /** Tokens that this attempt has generated according to the last report. */
  get generated (): Tokens {
    return this.#generated - this.#tokensBefore
  }

  /** Time of the last progress report, or of the grant if there is none. */
  get lastReportAt (): Millis {
    return this.#lastReportAt
  }

  get sentAt (): Millis | null {
    return this.#sentAt
  }

  get firstTokenAt (): Millis | null {
    return this.#firstTokenAt
  }

  /** Whether no first token was reported yet. */
  get isPrefilling (): boolean {
    return this.#firstTokenAt === null
  }

  /**
   * Estimates the prompt tokens that the runner has still to prefill.
   *
   * @param now - current time
   * @param rate - prefill rate of the runner in tokens per second; 0 while unknown
   * @returns at least 1 until the first token is reported
   */
  pendingPrefill (now: Millis, rate: number): Tokens {
    if (!this.isPrefilling) return 0
    const elapsed = this.#sentAt === null ? 0 : now - this.#sentAt
    const computed = Math.max(0, elapsed * rate / 1_000 - this.load.ahead)
    return Math.max(1, this.order.promptTokens - this.load.cachedTokens - computed)
  }

  /**
   * Records a progress report of the entry node.
   *
   * @param kind - phase that the attempt reached
   * @param generated - tokens generated for the request so far, by all its attempts
   * @param now - time of the report
   */
  recordProgress (kind: ProgressKind, generated: Tokens, now: Millis): void {
    this.#lastReportAt = now
    if (this.#sentAt === null) {
      this.#sentAt = now
      if (kind === ProgressKind.Sent) this.#tokensBefore = generated
    }
    this.#generated = Math.max(this.#generated, this.#tokensBefore, generated)
    if (kind === ProgressKind.FirstToken || this.generated > 0) this.#firstTokenAt ??= now
  }
}
