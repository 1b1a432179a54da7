/** Which parts of a prompt are evidence, and in which order they are reported. */
import type { Millis } from '../../types.js'
import { MAX_REPORT_PARTS } from './constants.js'
import type { CrashReport, PromptPart } from './types.js'

/**
 * @param parts - all parts of a request's prompt
 * @returns those that other requests may share: all but the last
 */
export const sharedParts = (parts: readonly PromptPart[]): readonly PromptPart[] => parts.slice(0, -1)

/**
 * Requests without shared parts cannot have caused a crash by them, and do not count.
 *
 * @param requests - all parts of each request that had not proved sound when the server ended
 * @param soundTime - time of a part's newest sound answer; null if there is none
 * @returns number of requests that may have caused the crash, and their parts: first those never seen sound, then those seen sound longest ago
 */
export const collectSuspects = (
  requests: readonly (readonly PromptPart[])[], soundTime: (part: PromptPart) => Millis | null
): Pick<CrashReport, 'suspects' | 'parts'> => {
  const suspects = requests.map(sharedParts).filter((parts) => parts.length > 0)
  const parts = [...new Set(interleave(suspects))]
  const bySoundTime = parts
    .map((part) => ({ part, soundAt: soundTime(part) ?? -Infinity }))
    .sort((a, b) => a.soundAt === b.soundAt ? 0 : a.soundAt - b.soundAt)
  return { suspects: suspects.length, parts: bySoundTime.slice(0, MAX_REPORT_PARTS).map(({ part }) => part) }
}

/** The first of each list, then the second of each, and so on, so that a bound on the number removes no list as a whole. */
const interleave = (lists: readonly (readonly PromptPart[])[]): PromptPart[] => {
  const longest = Math.max(0, ...lists.map(({ length }) => length))
  return Array.from({ length: longest }, (_, index) => lists.flatMap((list) => list.slice(index, index + 1))).flat()
}
