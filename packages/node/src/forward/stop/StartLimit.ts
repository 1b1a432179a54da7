/** Bounds the time until which the attempts of one request may begin, since the node may be stopping. */
import type { Millis } from '@bluebellhill/domain'

import type { AdmittedCall } from '../AdmittedCall.js'
import type { ForwardingContext } from '../types.js'

export interface StartLimitOptions {
  readonly context: Pick<ForwardingContext, 'stop' | 'forecast' | 'clock'>
  readonly call: AdmittedCall
  /** Returns whether the caller has a part of the answer: such a stream goes on as long as the node is there. */
  readonly hasStartedAnswer: () => boolean
  /** Called when the time has come after which no attempt may begin. */
  readonly onOver: () => void
}

/** Time after which the caller of one request would not get the answer from this node. */
export class StartLimit {
  readonly #options: StartLimitOptions
  #timer: NodeJS.Timeout | null = null

  /** @param options - the request, and the stop of its node */
  constructor (options: StartLimitOptions) {
    this.#options = options
  }

  /**
   * @param firstEvent - predicted time until the first event of an attempt that has been placed; absent if there is none
   * @returns whether it is too late for an attempt
   */
  isOver (firstEvent?: Millis): boolean {
    const { context: { clock, stop } } = this.#options
    return stop.isUnderWay && clock() > this.#latestStart(firstEvent)
  }

  /** Sets the limit, because the node is stopping. */
  nodeStopping (): void {
    const { context: { clock }, onOver } = this.#options
    const latest = this.#latestStart()
    if (latest === Infinity || this.#timer !== null) return
    this.#timer = setTimeout(onOver, Math.max(0, latest - clock()))
  }

  dispose (): void {
    if (this.#timer !== null) clearTimeout(this.#timer)
  }

  #latestStart (firstEvent?: Millis): Millis {
    const { context: { stop, forecast }, call, hasStartedAnswer } = this.#options
    return stop.latestStart(call, hasStartedAnswer() ? 0 : forecast.longest(call, firstEvent))
  }
}
