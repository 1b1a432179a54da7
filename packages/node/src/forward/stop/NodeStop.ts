/** The stop of a node: when the connections of callers are closed, and which requests that ends. */
import type { Millis } from '@bluebellhill/domain'

import type { AdmittedCall } from '../AdmittedCall.js'
import type { RequestStage } from '../unansweredRequests.js'

/** Share of the grace in which requests are sent of which it is not known how long they take; most of it is left for their answers. */
const UNKNOWN_SHARE = 0.4

/** Time in which an answer that has arrived is passed on. */
const PASS_ON_TIME: Millis = 100

/** Stop of one node; it begins at most once. */
export class NodeStop {
  readonly #clock: () => Millis
  readonly #cutOff = new Map<RequestStage, number>()
  #beganAt: Millis | null = null
  #closesAt: Millis = Infinity
  #unknownUntil: Millis = Infinity

  /** @param clock - monotonic clock */
  constructor (clock: () => Millis) {
    this.#clock = clock
  }

  /**
   * Begins the stop. A further call can only bring its end forward.
   *
   * @param grace - time after which the requests without an answer are ended
   */
  begin (grace: Millis): void {
    const now = this.#clock()
    this.#beganAt ??= now
    this.#closesAt = Math.min(this.#closesAt, now + grace)
    this.#unknownUntil = Math.min(this.#unknownUntil, now + UNKNOWN_SHARE * grace)
  }

  /** Whether the stop has begun. */
  get isUnderWay (): boolean {
    return this.#beganAt !== null
  }

  /** Time until the requests without an answer are ended; infinite before the stop. */
  get timeLeft (): Millis {
    return Math.max(0, this.#closesAt - this.#clock())
  }

  /**
   * @param at - a time
   * @returns how long after the beginning of the stop it is, negative before it; null if no stop has begun
   */
  after (at: Millis): Millis | null {
    return this.#beganAt === null ? null : at - this.#beganAt
  }

  /**
   * Returns the last time at which an attempt can begin so that its caller gets the answer. A request whose deadline comes first ends before the node
   * does, whatever becomes of it.
   *
   * @param call - the request
   * @param longest - time that the attempt takes at most; null if it is not known
   * @returns the time; infinite before the stop
   */
  latestStart ({ deadlineAt }: Pick<AdmittedCall, 'deadlineAt'>, longest: Millis | null): Millis {
    const answeredBy = this.#closesAt - PASS_ON_TIME
    if (deadlineAt <= answeredBy) return Infinity
    return longest === null ? this.#unknownUntil : answeredBy - longest
  }

  /** Counts a request that is ended without a complete answer of a backend server, because the grace is over. */
  cutOff (stage: RequestStage): void {
    this.#cutOff.set(stage, (this.#cutOff.get(stage) ?? 0) + 1)
  }

  /** @returns the number of requests that the end of the grace has ended, by their stage */
  cutOffByStage (): ReadonlyMap<RequestStage, number> {
    return this.#cutOff
  }
}
