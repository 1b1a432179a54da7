/** When a request with a quarantined part may be sent to find out whether the part is sound again. */
import type { Millis } from '../../types.js'
import type { PartStanding } from './assessment.js'
import { FACT_TOLERANCE, FIRST_TRIAL_GAP, FLEET_TRIAL_GAP, MAX_TRIAL_GAP, TRIAL_GAP_GROWTH } from './constants.js'
import type { PartTrials } from './PartTrials.js'
import type { PromptPart } from './types.js'

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
  readonly trials: PartTrials
}

/**
 * @param standing - a quarantined part of a request
 * @param context - the other parts, and the trials so far
 * @returns time from which a trial of the part with this request is due
 */
export const trialTime = (standing: QuarantinedStanding, { present, quarantined, trials }: TrialContext): Millis => {
  const { part, inseparable, lastCrashAt } = standing
  const [firstTrial] = trials.of(part)
  if (firstTrial === undefined) return lastCrashAt + FIRST_TRIAL_GAP
  const lastTrialAt = trials.lastTime(part)
  const absent = inseparable.filter((each) => !present.has(each))
  if (absent.length > 0 && lastTrialAt <= latest(absent, trials) + FACT_TOLERANCE) return lastCrashAt + FIRST_TRIAL_GAP
  const others = quarantined.map((other) => other.part).filter((other) => !inseparable.includes(other))
  return Math.max(nextTrialTime(firstTrial.at, Math.max(lastTrialAt, lastCrashAt)), latest(others, trials) + FLEET_TRIAL_GAP)
}

const latest = (parts: readonly PromptPart[], trials: PartTrials): Millis => Math.max(-Infinity, ...parts.map((part) => trials.lastTime(part)))

/** The gap grows with the time since the first trial, so that a wrong quarantine ends soon and a right one costs few engines. */
const nextTrialTime = (firstTrialAt: Millis, lastEventAt: Millis): Millis =>
  lastEventAt + Math.min(MAX_TRIAL_GAP, Math.max(FIRST_TRIAL_GAP, TRIAL_GAP_GROWTH * (lastEventAt - firstTrialAt)))
