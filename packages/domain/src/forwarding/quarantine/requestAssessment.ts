/** Finds the requests that crash the servers of a service each time they come. */
import type { Millis } from '../../types.js'
import { LEAST_REQUEST_SHARE, MOMENT_LENGTH, REQUEST_MOMENTS, REQUEST_SILENCE, SUFFICIENT_REQUEST_MOMENTS } from './constants.js'
import { isCandidate } from './crashEvidence.js'
import type { Standing, SoundTimes } from './crashEvidence.js'
import type { Crash } from './CrashReports.js'
import { isRequest } from './suspects.js'
import type { Suspect } from './types.js'

/**
 * A request needs no contrast, as parts do: other requests that are answered meanwhile say nothing of it, and while all servers are down there are
 * none. The crashes without it tell it from one that was in progress wherever servers ended. Servers that end together are one moment, so that a
 * common cause is little evidence; two requests that crash servers at the same time are not taken for one.
 *
 * @param crashes - the crashes of the service that are not refuted, oldest first
 * @param sounds - the sound answers
 * @returns the requests that met a crash since they were sound
 */
export const assessRequests = (crashes: readonly Crash[], sounds: SoundTimes): Standing[] =>
  [...crashesByRequest(crashes, sounds)].map(([request, ofRequest]) => standingOf(request, ofRequest, crashes, sounds.find(request)))

/**
 * @param requests - standings of requests
 * @param parts - standings of the prompt parts
 * @param crashes - the crashes of the service
 * @returns the requests, judged without the crashes that quarantined parts explain
 */
export const withoutExplained = (requests: readonly Standing[], parts: readonly Standing[], crashes: readonly Crash[]): Standing[] => {
  const causes = parts.filter(({ quarantinedAt }) => quarantinedAt !== null)
  if (causes.length === 0) return [...requests]
  return requests.flatMap((standing) => {
    const isExplained = (crash: Crash): boolean => causes.some((cause) => cause.crashes.includes(crash) && hasOtherRequests(cause, standing.part))
    const ofRequest = standing.crashes.filter((crash) => !isExplained(crash))
    return ofRequest.length === 0 ? [] : [standingOf(standing.part, ofRequest, crashes.filter((crash) => !isExplained(crash)), standing.soundAt)]
  })
}

/** Crashes of a part that all have the same request say as much of the one as of the other. */
const hasOtherRequests = ({ crashes }: Standing, request: Suspect): boolean => crashes.some(({ parts }) => !parts.has(request))

const crashesByRequest = (crashes: readonly Crash[], sounds: SoundTimes): Map<Suspect, Crash[]> => {
  const found = new Map<Suspect, Crash[]>()
  for (const crash of crashes) {
    for (const request of [...crash.parts].filter(isRequest)) {
      if (!isCandidate(crash, request, sounds.find(request))) continue
      const known = found.get(request)
      if (known === undefined) found.set(request, [crash])
      else known.push(crash)
    }
  }
  return found
}

const standingOf = (part: Suspect, crashes: readonly Crash[], all: readonly Crash[], soundAt: Millis | null): Standing => {
  const [first, last] = [crashes[0]!.at, crashes.at(-1)!.at]
  const deciding = crashes.find((_, index) => {
    const met = crashes.slice(0, index + 1)
    const at = met.at(-1)!.at
    const isSilent = at - (soundAt ?? -Infinity) >= REQUEST_SILENCE
    return isSilent && isCulprit(countMoments(met), countMoments(all.filter((crash) => crash.at >= first && crash.at <= at)))
  })
  const moments = countMoments(crashes)
  return { part, crashes, moments, weight: moments, quarantinedAt: deciding?.at ?? null, soundAt, inseparable: [part], lastCrashAt: last, crashCount: crashes.length }
}

const isCulprit = (moments: number, allMoments: number): boolean =>
  moments >= SUFFICIENT_REQUEST_MOMENTS || (moments >= REQUEST_MOMENTS && moments >= LEAST_REQUEST_SHARE * allMoments)

/** Servers that end at once are one event. */
const countMoments = (crashes: readonly Crash[]): number => {
  let [moments, start] = [0, -Infinity]
  for (const { at } of crashes) if (at > start + MOMENT_LENGTH) [moments, start] = [moments + 1, at]
  return moments
}
