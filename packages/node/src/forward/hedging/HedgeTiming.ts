/** Decides when an attempt that this node has sent is late enough for a hedge. */
import { CallKind, HedgeDelays } from '@bluebellhill/domain'
import type { Millis } from '@bluebellhill/domain'

import type { AdmittedCall } from '../AdmittedCall.js'
import type { PlacedAttempt } from '../scheduling/types.js'

/** What the timing of hedges needs to know of an attempt. */
export interface TimedAttempt {
  /** Null if another node places it. */
  readonly placed: PlacedAttempt | null
  readonly sentAt: Millis
  /** Null until the request is sent. */
  readonly serverCall: object | null
}

/** Times of the recent answers to this node, by route and service. */
export class HedgeTiming {
  readonly #delays = new HedgeDelays()
  readonly #maxRatio: () => number | null
  readonly #clock: () => Millis

  /**
   * @param maxRatio - returns the greatest share of requests that may be hedged; null to send no hedges
   * @param clock - clock of this node
   */
  constructor (maxRatio: () => number | null, clock: () => Millis) {
    this.#maxRatio = maxRatio
    this.#clock = clock
  }

  /** Records the end of an attempt. */
  attemptEnded (call: AdmittedCall, { placed, sentAt, serverCall }: TimedAttempt, isComplete: boolean): void {
    const maxRatio = this.#maxRatio()
    if (maxRatio === null || placed === null || serverCall === null || !isHedgeable(call)) return
    const now = this.#clock()
    this.#delays.observe(kindOf(call), now - sentAt, isComplete, maxRatio, now)
  }

  /**
   * A node that has had too few answers of the route uses the delay that the scheduler has learned from all nodes for the service.
   *
   * @param call - the request
   * @param attempt - its attempt in progress
   * @returns time from sending after which a hedge is due; null if none is to be sent
   */
  delay (call: AdmittedCall, { placed }: TimedAttempt): Millis | null {
    const maxRatio = this.#maxRatio()
    if (maxRatio === null || placed === null || !isHedgeable(call)) return null
    return this.#delays.delay(kindOf(call), maxRatio, this.#clock()) ?? placed.hedgeAfter ?? null
  }
}

/** A stream would need the memory of a second prompt: docs/design/hedging.md. */
const isHedgeable = ({ route, service }: AdmittedCall): boolean => route.kind === CallKind.Safe && service.engine === null

const kindOf = ({ route, service }: AdmittedCall): string => `${route.name} ${service.name}`
