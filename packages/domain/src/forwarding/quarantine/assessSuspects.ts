/** Judges prompt parts and requests by the crashes of each service. */
import { assessParts } from './partAssessment.js'
import type { Standing } from './crashEvidence.js'
import type { Crash } from './CrashReports.js'
import { assessRequests, withoutExplained } from './requestAssessment.js'
import type { SoundAnswers } from './SoundAnswers.js'
import type { Suspect } from './types.js'

/**
 * Each service is judged for itself: answers of the servers of one say nothing of those of another.
 *
 * @param crashes - the crashes that are not refuted, oldest first
 * @param sounds - the sound answers
 * @returns what is quarantined or suspected
 */
export const assessSuspects = (crashes: readonly Crash[], sounds: SoundAnswers): Map<Suspect, Standing> => {
  const standings = new Map<Suspect, Standing>()
  for (const [service, ofService] of groupByService(crashes)) {
    for (const standing of assessService(ofService, service, sounds)) {
      const known = standings.get(standing.part)
      if (known === undefined || isStronger(standing, known)) standings.set(standing.part, standing)
    }
  }
  return standings
}

const assessService = (crashes: readonly Crash[], service: string, sounds: SoundAnswers): Standing[] => {
  const times = { find: (suspect: Suspect) => sounds.find(suspect), newest: sounds.newestOf(service) }
  const requests = assessRequests(crashes, times)
  const culprits = requests.filter(({ quarantinedAt }) => quarantinedAt !== null)
  const parts = [...assessParts(crashes, times, culprits).values()]
  const judged = withoutExplained(requests, parts, crashes)
  return [...parts.map((part) => ({ ...part, inseparable: [...part.inseparable, ...requestsWithSameCrashes(part, judged)] })), ...judged]
}

/** A request that met all crashes of a part leaves open which of the two is the cause, until the part comes with another request. */
const requestsWithSameCrashes = (part: Standing, requests: readonly Standing[]): Suspect[] => {
  if (part.quarantinedAt === null) return []
  return requests.filter((request) => request.quarantinedAt !== null && part.crashes.every((crash) => request.crashes.includes(crash))).map((request) => request.part)
}

const groupByService = (crashes: readonly Crash[]): Map<string, Crash[]> => {
  const groups = new Map<string, Crash[]>()
  for (const crash of crashes) {
    const group = groups.get(crash.service)
    if (group === undefined) groups.set(crash.service, [crash])
    else group.push(crash)
  }
  return groups
}

const isStronger = (a: Standing, b: Standing): boolean =>
  (a.quarantinedAt !== null) === (b.quarantinedAt !== null) ? a.moments > b.moments : a.quarantinedAt !== null
