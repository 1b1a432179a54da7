/** An attempt that was granted a runner, as its dispatcher accounts for it. */
import type { AttemptId, Millis, NodeId, RunnerId, Tokens } from '../types.js'
import type { DispatchOrder } from './types.js'
import { ProgressKind } from './types.js'

/** Phase, memory and expiry of one granted attempt. */
export class LiveAttempt {
  readonly order: DispatchOrder
  readonly runner: RunnerId
  readonly grantedAt: Millis
  /** Prompt tokens that were expected in the runner's cache. */
  readonly cachedTokens: Tokens
  /** Pending prefill of the runner when this attempt was granted. */
  readonly aheadTokens: Tokens
  lapsesAt: Millis
  sentAt: Millis | null = null
  firstTokenAt: Millis | null = null
  generated: Tokens = 0
  recalled = false

  /**
   * @param order - what was asked for
   * @param runner - the runner granted
   * @param now - time of the grant
   * @param lapsesAt - when the attempt counts as left unless progress is reported
   * @param load - what of the prompt is cached, and what prefill the runner had before it
   */
  constructor (order: DispatchOrder, runner: RunnerId, now: Millis, lapsesAt: Millis, load: { readonly cachedTokens: Tokens, readonly aheadTokens: Tokens }) {
    this.order = order
    this.runner = runner
    this.grantedAt = now
    this.lapsesAt = lapsesAt
    this.cachedTokens = load.cachedTokens
    this.aheadTokens = load.aheadTokens
  }

  get id (): AttemptId {
    return this.order.attempt
  }

  get entry (): NodeId {
    return this.order.entry
  }

  /** Memory that the attempt may come to hold. */
  get reservedTokens (): Tokens {
    return this.order.promptTokens + this.order.maxTokens
  }

  /** Whether the prompt is still being computed. */
  get isPrefilling (): boolean {
    return this.firstTokenAt === null
  }

  /** Prompt tokens still to be computed, as far as is known. */
  get pendingPrefill (): Tokens {
    return this.isPrefilling ? Math.max(0, this.order.promptTokens - this.cachedTokens) : 0
  }

  /**
   * Notes what the entry node reported.
   *
   * @param kind - phase reached
   * @param generated - tokens generated so far
   * @param now - time of the report
   */
  progress (kind: ProgressKind, generated: Tokens, now: Millis): void {
    this.sentAt ??= now
    this.generated = Math.max(this.generated, generated)
    if (kind === ProgressKind.FirstToken || generated > 0) this.firstTokenAt ??= now
  }
}
