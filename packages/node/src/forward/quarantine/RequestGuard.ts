/** Applies the quarantine of prompt parts to the attempts of one request. */
import { PartStatus } from '@bluebellhill/domain'
import type { BackendServer, Millis } from '@bluebellhill/domain'

import type { AdmittedCall } from '../AdmittedCall.js'
import { NO_CAUTION } from '../scheduling/types.js'
import type { AttemptCaution } from '../scheduling/types.js'
import { AttemptWatch } from './AttemptWatch.js'
import type { PromptQuarantine, QuarantineVerdict } from './PromptQuarantine.js'

export interface RequestGuardOptions {
  readonly quarantine: PromptQuarantine
  readonly call: AdmittedCall
  readonly clock: () => Millis
  /** Called when a part of the request gets quarantined while an attempt is in progress that has not proved sound. */
  readonly onQuarantined: (verdict: QuarantineVerdict) => void
}

/** Guard of one request. */
export class RequestGuard {
  readonly #options: RequestGuardOptions

  /** @param options - the request, and what is known of its prompt parts */
  constructor (options: RequestGuardOptions) {
    this.#options = options
  }

  /** @returns the verdict if a part of the request is quarantined; else null */
  findQuarantine (): QuarantineVerdict | null {
    const { quarantine, call } = this.#options
    const verdict = quarantine.verdict(call.parts)
    return verdict.status === PartStatus.Quarantined ? verdict : null
  }

  /** @returns how the next attempt is to be placed; null if the request must be refused */
  caution (): AttemptCaution | null {
    const { quarantine, call } = this.#options
    const verdict = quarantine.verdict(call.parts)
    switch (verdict.status) {
      case PartStatus.Clear:
        return NO_CAUTION
      case PartStatus.Suspected:
        return { isSuspected: true, trialParts: [] }
      case PartStatus.Quarantined:
        return verdict.isTrialDue ? { isSuspected: false, trialParts: verdict.parts } : null
    }
  }

  /**
   * Starts to observe an attempt.
   *
   * @param server - backend server that the request is being sent to
   * @param isTrial - whether it is sent although a part of it is quarantined
   * @returns what has to be told of the attempt; null if it can be no evidence
   */
  watch (server: BackendServer, isTrial: boolean): AttemptWatch | null {
    const { call, quarantine, clock } = this.#options
    if (call.service.engine === null && call.parts.length === 0) return null
    const stopListening = isTrial ? null : quarantine.onQuarantine(() => this.#judgeAgain())
    return new AttemptWatch(quarantine.engines, { request: call.id, server, parts: call.parts, sentAt: clock(), isSound: false }, stopListening)
  }

  #judgeAgain (): void {
    const verdict = this.findQuarantine()
    if (verdict !== null) this.#options.onQuarantined(verdict)
  }
}
