/** Applies the quarantine to the attempts of one request. */
import { isolatedRequest, QuarantineStatus } from '@bluebellhill/domain'
import type { BackendServer, Millis, Verdict, Suspect } from '@bluebellhill/domain'

import type { AdmittedCall } from '../AdmittedCall.js'
import { NO_CAUTION } from '../scheduling/types.js'
import type { AttemptCaution } from '../scheduling/types.js'
import { AttemptWatch } from './AttemptWatch.js'
import { digestRequest } from './digestRequest.js'
import type { NodeQuarantine, QuarantineVerdict } from './NodeQuarantine.js'

export interface RequestGuardOptions {
  readonly quarantine: NodeQuarantine
  readonly call: AdmittedCall
  readonly clock: () => Millis
  /** Called when the request or a part of it gets quarantined while an attempt is in progress that has not proved sound. */
  readonly onQuarantined: (verdict: QuarantineVerdict) => void
}

/** Guard of one request. */
export class RequestGuard {
  readonly #options: RequestGuardOptions
  #identity: Suspect | null = null

  /** @param options - the request, and what is known of it */
  constructor (options: RequestGuardOptions) {
    this.#options = options
  }

  /** @returns the verdict if the request or a part of it is quarantined; else null */
  findQuarantine (): QuarantineVerdict | null {
    const verdict = this.#verdict()
    return verdict.status === QuarantineStatus.Quarantined ? verdict : null
  }

  /** @returns how the next attempt is to be placed; null if the request must be refused */
  caution (): AttemptCaution | null {
    const verdict = this.#verdict()
    switch (verdict.status) {
      case QuarantineStatus.Clear:
        return NO_CAUTION
      case QuarantineStatus.Suspected:
        return { isSuspected: true, trialParts: [], ...isolation(verdict) }
      case QuarantineStatus.Quarantined:
        return verdict.isTrialDue ? { isSuspected: false, trialParts: verdict.parts, ...isolation(verdict) } : null
    }
  }

  /**
   * Starts to observe an attempt.
   *
   * @param server - backend server that the request is being sent to
   * @param isTrial - whether it is sent although a part of it is quarantined
   * @returns what has to be told of the attempt
   */
  watch (server: BackendServer, isTrial: boolean): AttemptWatch {
    const { call, quarantine, clock } = this.#options
    const stopListening = isTrial ? null : quarantine.onQuarantine(() => this.#judgeAgain())
    return new AttemptWatch(quarantine.serverWatch, { request: call.id, server, parts: call.parts, identity: () => this.identity(), sentAt: clock(), isSound: false }, stopListening)
  }

  /** @returns the digest that the request has each time its caller sends it; computed once */
  identity (): Suspect {
    this.#identity ??= digestRequest(this.#options.call)
    return this.#identity
  }

  #verdict (): Verdict {
    const { quarantine, call } = this.#options
    return quarantine.verdict(call.parts, () => this.identity())
  }

  #judgeAgain (): void {
    const verdict = this.findQuarantine()
    if (verdict !== null) this.#options.onQuarantined(verdict)
  }
}

/** A request that has met a crash is told from sound ones beside it when it runs apart from other such requests. */
const isolation = (verdict: Verdict): Pick<AttemptCaution, 'isolatedAs'> => {
  const request = isolatedRequest(verdict)
  return request === null ? {} : { isolatedAs: request }
}
