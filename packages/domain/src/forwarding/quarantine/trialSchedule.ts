/** When a quarantined request, or one with a quarantined part, may be sent to find out whether it is sound again. */
import type { Millis } from '../../types.js'
import type { Standing } from './crashEvidence.js'
import { FACT_TOLERANCE, FIRST_TRIAL_GAP, FLEET_TRIAL_GAP, MAX_REQUEST_CRASHES, MAX_REQUEST_TRIALS, MAX_TRIAL_GAP, REQUEST_TRIAL_GAP, TRIAL_GAP_GROWTH } from './constants.js'
import type { Trials } from './Trials.js'
import { isRequest } from './suspects.js'
import type { Suspect } from './types.js'

/** A suspect that is quarantined. */
export interface QuarantinedStanding extends Standing {
  readonly quarantinedAt: Millis
}

/** What decides on the trials of one suspect. */
export interface TrialContext {
  /** The request if it is quarantined, and its quarantined parts. */
  readonly present: ReadonlySet<Suspect>
  /** All that is quarantined. */
  readonly quarantined: readonly QuarantinedStanding[]
  readonly trials: Trials
}

/**
 * @param standing - a quarantined request, or a quarantined part of one
 * @param context - the other suspects, and the trials so far
 * @returns time from which a trial with this request is due; infinity if it gets none any more
 */
export const trialTime = (standing: QuarantinedStanding, { present, quarantined, trials }: TrialContext): Millis => {
  const { part, inseparable, lastCrashAt } = standing
  if (isRequest(part) && isTriedEnough(standing, trials)) return Infinity
  const [firstTrial] = trials.of(part)
  if (firstTrial === undefined) return lastCrashAt + FIRST_TRIAL_GAP
  const lastTrialAt = trials.lastTime(part)
  const absent = inseparable.filter((each) => !present.has(each))
  if (absent.length > 0 && lastTrialAt <= latest(absent, trials) + FACT_TOLERANCE) return lastCrashAt + FIRST_TRIAL_GAP
  const others = quarantined.map((other) => other.part).filter((other) => !inseparable.includes(other))
  const shortest = isRequest(part) ? REQUEST_TRIAL_GAP : FIRST_TRIAL_GAP
  return Math.max(nextTrialTime(firstTrial.at, Math.max(lastTrialAt, lastCrashAt), shortest), latest(others, trials) + FLEET_TRIAL_GAP)
}

const isTriedEnough = ({ part, crashCount }: QuarantinedStanding, trials: Trials): boolean =>
  trials.of(part).length >= MAX_REQUEST_TRIALS || crashCount >= MAX_REQUEST_CRASHES

const latest = (parts: readonly Suspect[], trials: Trials): Millis => Math.max(-Infinity, ...parts.map((part) => trials.lastTime(part)))

/** The gap grows with the time since the first trial, so that a wrong quarantine ends soon and a right one costs few engines. */
const nextTrialTime = (firstTrialAt: Millis, lastEventAt: Millis, shortest: Millis): Millis =>
  lastEventAt + Math.min(MAX_TRIAL_GAP, Math.max(shortest, TRIAL_GAP_GROWTH * (lastEventAt - firstTrialAt)))
