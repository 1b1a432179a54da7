/** When a request with a quarantined part may be sent to find out whether the part is sound again. */
import type { Millis } from '../../types.js'
import type { PartStanding } from './assessment.js'
import { FACT_TOLERANCE, FIRST_TRIAL_GAP, FLEET_TRIAL_GAP, MAX_TRIAL_GAP, TRIAL_GAP_GROWTH } from './constants.js'
import type { PartTrial, PromptPart } from './types.js'

/** A part that is quarantined. */
export interface QuarantinedStanding extends PartStanding {
  readonly quarantinedAt: Millis
}

/** What decides on the trials of one part of a request. */
export interface TrialContext {
  /** Quarantined parts of the request. */
  readonly present: ReadonlySet<PromptPart>
  /** All quarantined parts. */
  readonly quarantined: readonly QuarantinedStanding[]
  readonly trials: ReadonlyMap<PromptPart, PartTrial>
}

/**
 * @param standing - a quarantined part of a request
 * @param context - the other parts, and the trials so far
 * @returns time from which a trial of the part with this request is due
 */
export const trialTime = (standing: QuarantinedStanding, { present, quarantined, trials }: TrialContext): Millis => {
  const { part, inseparable, quarantinedAt, lastCrashAt } = standing
  const lastTrialOf = (each: PromptPart): Millis => trials.get(each)?.at ?? -Infinity
  const lastTrialAt = lastTrialOf(part)
  const absent = inseparable.filter((each) => !present.has(each))
  if (absent.length > 0 && lastTrialAt <= latest(absent.map(lastTrialOf)) + FACT_TOLERANCE) return lastCrashAt + FIRST_TRIAL_GAP
  const ownTime = nextTrialTime(quarantinedAt, Math.max(lastCrashAt, lastTrialAt))
  if (lastTrialAt < quarantinedAt) return ownTime
  const others = quarantined.filter((other) => !inseparable.includes(other.part))
  return Math.max(ownTime, latest(others.map((other) => lastTrialOf(other.part))) + FLEET_TRIAL_GAP)
}

const latest = (times: readonly Millis[]): Millis => Math.max(-Infinity, ...times)

/**
 * The gap grows with the time for which the quarantine has lasted, so that a wrong one ends soon and a right one costs few engines. It needs
 * no count of trials, which nodes that were cut off from each other would disagree on.
 */
const nextTrialTime = (quarantinedAt: Millis, lastEventAt: Millis): Millis => {
  const last = Math.max(quarantinedAt, lastEventAt)
  return last + Math.min(MAX_TRIAL_GAP, Math.max(FIRST_TRIAL_GAP, TRIAL_GAP_GROWTH * (last - quarantinedAt)))
}
