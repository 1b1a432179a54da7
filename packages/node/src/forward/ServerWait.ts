/** Lets one request wait for a backend server that will accept requests again soon. */
import type { AttemptHistory, Millis } from '@bluebellhill/domain'

import type { AdmittedCall } from './AdmittedCall.js'
import { isWaitStated } from './refusalCause.js'
import type { RequestLog } from './RequestLog.js'
import { PlacementRefusal } from './scheduling/types.js'
import type { RefusedPlacement } from './scheduling/types.js'

/** Longest time for which a request that may have run waits until a server accepts requests again. */
const MAX_SERVER_WAIT: Millis = 1_000

export interface ServerWaitOptions {
  readonly call: AdmittedCall
  /** Earlier attempts of the request. */
  readonly history: AttemptHistory
  readonly requestLog: RequestLog
  readonly clock: () => Millis
  /** Called when the next attempt is to begin, with whether it takes from the retry budget. */
  readonly onOver: (chargesRetry: boolean) => void
}

/** Wait of one request. */
export class ServerWait {
  readonly #options: ServerWaitOptions
  #timer: NodeJS.Timeout | null = null
  /** Why the request waited last; empty if it has not. */
  #reason = ''

  /** @param options - the request, and its earlier attempts */
  constructor (options: ServerWaitOptions) {
    this.#options = options
  }

  /**
   * A request that may have run cannot be refused truthfully, so it waits for a server that will accept requests again soon. One that waits only for
   * others like it is placed as soon as they are answered.
   *
   * @param refusal - why no server was chosen
   * @param chargesRetry - whether the attempt would have been taken from the retry budget
   * @returns whether the request waits
   */
  begin (refusal: RefusedPlacement, chargesRetry: boolean): boolean {
    const { call, history, requestLog, clock, onOver } = this.#options
    const { retryAfter, reason } = refusal
    const waitsForOthers = reason === PlacementRefusal.SuspectsInProgress
    if (!waitsForOthers && !(history.mayHaveRun && isWaitStated(refusal))) return false
    if (retryAfter === null || retryAfter > MAX_SERVER_WAIT || clock() + retryAfter >= call.deadlineAt) return false
    if (this.#reason !== reason) requestLog.requestWaits(refusal, retryAfter)
    this.#reason = reason
    this.#timer = setTimeout(() => onOver(waitsForOthers && chargesRetry), retryAfter)
    return true
  }

  /** Ends the wait without an attempt. */
  stop (): void {
    if (this.#timer !== null) clearTimeout(this.#timer)
  }
}
