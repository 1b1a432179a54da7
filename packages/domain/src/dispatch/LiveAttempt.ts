/** An attempt that was granted a runner, as its dispatcher accounts for it. */
import type { AttemptId, Millis, NodeId, RunnerId, Tokens } from '../types.js'
import { lengthClassOf } from './lengthClasses.js'
import type { DispatchOrder } from './types.js'
import { ProgressKind } from './types.js'

/** The runner's state when an attempt was granted. */
export interface GrantLoad {
  /** Prompt tokens that were expected in the runner's cache. */
  readonly cachedTokens: Tokens
  /** Tokens still to be computed of prompts that go first. */
  readonly ahead: Tokens
  /** Tokens still to be computed of longer prompts. */
  readonly behind: Tokens
  /** When the order arrived, and how long it was expected to take from then. */
  readonly queuedAt: Millis
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
  /** Tokens that the caller had before this attempt; reports count from the request's first token. */
  #tokensBefore: Tokens = 0
  #generated: Tokens = 0

  /**
   * @param order - what was asked for
   * @param runner - the runner granted
   * @param now - time of the grant
   * @param expiresAt - when the attempt counts as left unless progress is reported
   * @param load - the runner's state
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

  /** Memory that the attempt may come to hold. */
  get reservedTokens (): Tokens {
    return this.order.promptTokens + this.order.maxTokens
  }

  /** Tokens that the attempt itself has generated, as far as was reported. */
  get generated (): Tokens {
    return this.#generated - this.#tokensBefore
  }

  /** Time of the grant or of the last report. */
  get lastReportAt (): Millis {
    return this.#lastReportAt
  }

  get sentAt (): Millis | null {
    return this.#sentAt
  }

  get firstTokenAt (): Millis | null {
    return this.#firstTokenAt
  }

  /** Whether the prompt is still being computed. */
  get isPrefilling (): boolean {
    return this.#firstTokenAt === null
  }

  /**
   * Prompt tokens still to be computed.
   *
   * @param now - time
   * @param rate - tokens a second of the runner; 0 while unknown
   * @returns at least one token until the first answer is reported
   */
  pendingPrefill (now: Millis, rate: number): Tokens {
    if (!this.isPrefilling) return 0
    const elapsed = this.#sentAt === null ? 0 : now - this.#sentAt
    const computed = Math.max(0, elapsed * rate / 1_000 - this.load.ahead)
    return Math.max(1, this.order.promptTokens - this.load.cachedTokens - computed)
  }

  /**
   * Notes what the entry node reported.
   *
   * @param kind - phase reached
   * @param generated - tokens of the request so far
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
