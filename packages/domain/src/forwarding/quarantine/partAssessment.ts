/** Finds the prompt parts that explain the crashes of a service's servers best. */
import type { Millis } from '../../types.js'
import { isCandidate, isCommonEvent, lastCrashTime, neighboursOf } from './crashEvidence.js'
import type { Standing, SoundTimes } from './crashEvidence.js'
import { CONTRAST_MARGIN, LIKELY_CAUSE_SHARE, MOMENT_LENGTH, NEW_PART_THRESHOLD, SOUND_PART_THRESHOLD } from './constants.js'
import type { Threshold } from './constants.js'
import type { Crash } from './CrashReports.js'
import { isRequest } from './suspects.js'
import type { PromptPart } from './types.js'

/** Time after the last crash from which a newer sound answer of any part changes no standing. */
export const CONTRAST_PERIOD: Millis = Math.max(CONTRAST_MARGIN, SOUND_PART_THRESHOLD.silence)

/**
 * Selects the part with the most evidence as a cause, sets aside the crashes that it explains, and goes on with the rest. Sound parts whose
 * requests were in progress beside those of a cause are not selected for these crashes, however many they are.
 *
 * @param crashes - the crashes of the service that are not refuted, oldest first
 * @param sounds - the sound answers
 * @param culprits - requests that have met enough crashes to be quarantined
 * @returns the parts that are quarantined or suspected
 */
export const assessParts = (crashes: readonly Crash[], sounds: SoundTimes, culprits: readonly Standing[]): Map<PromptPart, Standing> => {
  const standings = new Map<PromptPart, Standing>()
  let unexplained = crashes
  for (;;) {
    const candidates = collectStandings(unexplained, sounds, culprits)
      .filter(({ part }) => !standings.has(part))
      .map((standing) => isDueToRequest(standing, culprits) ? { ...standing, quarantinedAt: null } : standing)
    const causes = likeliestCauses(candidates)
    if (causes.length === 0) {
      for (const standing of candidates) standings.set(standing.part, standing)
      return standings
    }
    const inseparable = causes.map(({ part }) => part)
    for (const standing of causes) standings.set(standing.part, { ...standing, inseparable, lastCrashAt: lastCrashTime(crashes, standing) })
    unexplained = unexplained.filter((crash) => !causes.some((standing) => isCandidate(crash, standing.part, standing.soundAt)))
  }
}

/** A part that sound requests have shared is not blamed for the crashes of one request that met them all. */
const isDueToRequest = ({ soundAt, crashes }: Standing, culprits: readonly Standing[]): boolean =>
  soundAt !== null && culprits.some(({ part }) => crashes.every((crash) => crash.parts.has(part)))

/** The part with the most evidence, and those that were never seen apart from it. */
const likeliestCauses = (candidates: readonly Standing[]): Standing[] => {
  const causes = candidates.filter(({ quarantinedAt }) => quarantinedAt !== null).sort(compareEvidence)
  const first = causes[0]
  return first === undefined ? [] : causes.filter((standing) => isInseparable(first, standing))
}

const compareEvidence = (a: Standing, b: Standing): number =>
  b.moments / thresholdOf(b.soundAt).moments - a.moments / thresholdOf(a.soundAt).moments ||
  b.weight / thresholdOf(b.soundAt).weight - a.weight / thresholdOf(a.soundAt).weight ||
  (a.soundAt ?? -Infinity) - (b.soundAt ?? -Infinity) ||
  (a.part < b.part ? -1 : 1)

const isInseparable = (a: Standing, b: Standing): boolean =>
  (a.soundAt === null) === (b.soundAt === null) &&
  Math.abs((a.soundAt ?? 0) - (b.soundAt ?? 0)) <= SOUND_PART_THRESHOLD.silence &&
  a.crashes.length === b.crashes.length &&
  a.crashes.every((crash, index) => crash === b.crashes[index])

const thresholdOf = (soundAt: Millis | null): Threshold => soundAt === null ? NEW_PART_THRESHOLD : SOUND_PART_THRESHOLD

const collectStandings = (crashes: readonly Crash[], sounds: SoundTimes, culprits: readonly Standing[]): Standing[] => {
  const crashesByPart = new Map<PromptPart, Crash[]>()
  const rivals = new Map(crashes.map((crash) => [crash, countRivals(crash, sounds)]))
  crashes.forEach((crash, index) => {
    // A request that meets one crash after the other shows that the cause travels with it.
    const neighbours = culprits.some((culprit) => crash.parts.has(culprit.part)) ? [] : neighboursOf(crashes, index)
    for (const part of crash.parts) {
      if (isRequest(part)) continue
      if (!isCandidate(crash, part, sounds.find(part)) || isCommonEvent(neighbours, part)) continue
      const known = crashesByPart.get(part)
      if (known === undefined) crashesByPart.set(part, [crash])
      else known.push(crash)
    }
  })
  return [...crashesByPart]
    .map(([part, ofPart]) => standingOf(part, ofPart, sounds, rivals))
    .map((standing) => hasContrast(standing, crashes, sounds) ? standing : { ...standing, quarantinedAt: null })
}

/** Number of parts that may have caused a crash: those that were never sound, and all that were not sound since. */
interface Rivals {
  readonly neverSound: number
  readonly all: number
}

const countRivals = (crash: Crash, sounds: SoundTimes): Rivals => {
  const candidates = [...crash.parts].filter((part) => !isRequest(part) && isCandidate(crash, part, sounds.find(part)))
  return { neverSound: candidates.filter((part) => sounds.find(part) === null).length, all: candidates.length }
}

/** Part of a crash that counts as evidence against one prompt part. Sound answers to the other suspects raise it. */
const shareOfEvidence = (crash: Crash, { neverSound, all }: Rivals, isNew: boolean): number =>
  1 / Math.max(1, Math.min(crash.suspects, isNew ? neverSound : all))

const standingOf = (part: PromptPart, crashes: readonly Crash[], sounds: SoundTimes, rivals: ReadonlyMap<Crash, Rivals>): Standing => {
  const soundAt = sounds.find(part)
  const threshold = thresholdOf(soundAt)
  // Not only up to the crash: no further one comes while all engines are down.
  const silence = Math.max(crashes.at(-1)!.at, sounds.newest?.at ?? -Infinity) - (soundAt ?? -Infinity)
  let [moments, weight, momentStart, momentShare] = [0, 0, -Infinity, 0]
  let quarantinedAt: Millis | null = null
  for (const crash of crashes) {
    if (crash.at > momentStart + MOMENT_LENGTH) [moments, momentStart, momentShare] = [moments + 1, crash.at, 0]
    const share = shareOfEvidence(crash, rivals.get(crash)!, soundAt === null)
    weight += Math.max(0, share - momentShare)
    momentShare = Math.max(share, momentShare)
    if (meetsThreshold(threshold, moments, weight, silence)) quarantinedAt ??= crash.at
  }
  return { part, crashes, moments, weight, quarantinedAt, soundAt, inseparable: [part], lastCrashAt: crashes.at(-1)!.at, crashCount: crashes.length }
}

const meetsThreshold = (threshold: Threshold, moments: number, weight: number, silence: Millis): boolean =>
  (silence >= threshold.silence || moments >= threshold.burstMoments) &&
  (moments >= threshold.sufficientMoments || (moments >= threshold.moments && weight >= threshold.weight))

/** Whether requests without the part were sound meanwhile. Crashes say nothing about a part that all requests carry, or while all engines crash. */
const hasContrast = ({ crashes, quarantinedAt, soundAt }: Standing, all: readonly Crash[], { newest }: SoundTimes): boolean => {
  if (quarantinedAt === null || newest === null) return false
  const firstAt = crashes[0]!.at
  const isMeanwhile = ({ at }: Crash): boolean => at >= firstAt && at <= quarantinedAt
  const share = crashes.filter(isMeanwhile).length / all.filter(isMeanwhile).length
  const from = share >= LIKELY_CAUSE_SHARE ? firstAt : quarantinedAt
  return newest.at > from && newest.at > (soundAt ?? -Infinity) + CONTRAST_MARGIN
}
