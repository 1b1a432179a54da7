/** Which parts of a prompt are evidence, and in which order they are reported. */
import type { Millis } from '../../types.js'
import { MAX_REPORT_PARTS, MAX_REPORT_REQUESTS } from './constants.js'
import type { CrashReport, PromptPart, Suspect } from './types.js'

/**
 * @param parts - all parts of a request's prompt
 * @returns those that other requests may share: all but the last
 */
export const sharedParts = (parts: readonly PromptPart[]): readonly PromptPart[] => parts.slice(0, -1)

/** What a node knows of the suspects of a crash. */
export interface SuspectHistory {
  /** Time of a suspect's newest sound answer; null if there is none. */
  readonly soundTime: (suspect: Suspect) => Millis | null
  /** Number of crash reports with a suspect. */
  readonly countReports: (suspect: Suspect) => number
}

/**
 * Requests without shared parts cannot have caused a crash by them, and do not count as such.
 *
 * @param prompts - all parts of each request that had not proved sound when the server ended
 * @param requests - the requests themselves
 * @param history - earlier evidence
 * @returns number of requests whose parts may have caused the crash; their parts, first those never seen sound, then those seen sound longest ago;
 * and the requests, first those that were in the most crashes
 */
export const collectSuspects = (
  prompts: readonly (readonly PromptPart[])[], requests: readonly Suspect[], { soundTime, countReports }: SuspectHistory
): Pick<CrashReport, 'suspects' | 'parts'> => {
  const suspects = prompts.map(sharedParts).filter((parts) => parts.length > 0)
  const parts = [...new Set(interleave(suspects))]
  const bySoundTime = parts
    .map((part) => ({ part, soundAt: soundTime(part) ?? -Infinity }))
    .sort((a, b) => a.soundAt === b.soundAt ? 0 : a.soundAt - b.soundAt)
  const byReports = [...new Set(requests)].sort((a, b) => countReports(b) - countReports(a))
  return {
    suspects: suspects.length,
    parts: [...bySoundTime.slice(0, MAX_REPORT_PARTS).map(({ part }) => part), ...byReports.slice(0, MAX_REPORT_REQUESTS)]
  }
}

/** The first of each list, then the second of each, and so on, so that a bound on the number removes no list as a whole. */
const interleave = (lists: readonly (readonly PromptPart[])[]): PromptPart[] => {
  const longest = Math.max(0, ...lists.map(({ length }) => length))
  return Array.from({ length: longest }, (_, index) => lists.flatMap((list) => list.slice(index, index + 1))).flat()
}
