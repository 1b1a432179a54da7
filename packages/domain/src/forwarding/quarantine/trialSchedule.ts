/** When a request with a quarantined part may be sent to find out whether the part is sound again. */
import type { Millis } from '../../types.js'
import { FIRST_TRIAL_GAP, MAX_TRIAL_GAP, TRIAL_GAP_GROWTH } from './constants.js'

/**
 * The gap grows with the time for which the quarantine has lasted, so that a wrong one ends soon and a right one costs few engines. It needs
 * no count of trials, which nodes that were cut off from each other would disagree on.
 *
 * @param quarantinedAt - time of the crash that led to the quarantine
 * @param lastEventAt - time of the last crash or trial
 * @returns time from which a trial is due
 */
export const nextTrialTime = (quarantinedAt: Millis, lastEventAt: Millis): Millis => {
  const last = Math.max(quarantinedAt, lastEventAt)
  return last + Math.min(MAX_TRIAL_GAP, Math.max(FIRST_TRIAL_GAP, TRIAL_GAP_GROWTH * (last - quarantinedAt)))
}
