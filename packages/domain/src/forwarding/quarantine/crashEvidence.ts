/** What a single crash says of a suspect. */
import type { Millis } from '../../types.js'
import { COMMON_EVENT_SERVERS, COMMON_EVENT_TIME } from './constants.js'
import type { Crash } from './CrashReports.js'
import type { PromptPart, Suspect } from './types.js'

/** What the crashes say about a suspect. */
export interface Standing {
  readonly part: Suspect
  /** Its counted crashes since its last sound answer, oldest first. */
  readonly crashes: readonly Crash[]
  readonly moments: number
  readonly weight: number
  /** Time of the crash that met the threshold; null if the part is only suspected. */
  readonly quarantinedAt: Millis | null
  readonly soundAt: Millis | null
  /** The suspect, and those that met exactly the same crashes; a request without all of them tells them apart. */
  readonly inseparable: readonly Suspect[]
  /** Time of its last crash, counted or not. */
  readonly lastCrashAt: Millis
  /** Number of its crashes since its last sound answer. */
  readonly crashCount: number
}

/** What is known of sound answers. */
export interface SoundTimes {
  /** Time of a suspect's newest sound answer; null if there is none. */
  readonly find: (suspect: Suspect) => Millis | null
  /** Newest sound answer of any request of the service. */
  readonly newest: { readonly at: Millis } | null
}

/**
 * @param crash - a crash
 * @param suspect - what it may be blamed on
 * @param soundAt - time of the suspect's newest sound answer; null if there is none
 * @returns whether the suspect was in progress there and has not been sound since
 */
export const isCandidate = (crash: Crash, suspect: Suspect, soundAt: Millis | null): boolean =>
  crash.parts.has(suspect) && crash.at > (soundAt ?? -Infinity)

/**
 * @param crashes - all crashes, oldest first
 * @param standing - standing of a suspect
 * @returns time of the suspect's last crash since it was sound, counted or not
 */
export const lastCrashTime = (crashes: readonly Crash[], { part, soundAt, lastCrashAt }: Standing): Millis =>
  crashes.findLast((crash) => isCandidate(crash, part, soundAt))?.at ?? lastCrashAt

/**
 * @param crashes - all crashes, oldest first
 * @param index - position of one of them
 * @returns the crashes of other servers at almost the same time
 */
export const neighboursOf = (crashes: readonly Crash[], index: number): Crash[] => {
  const { at, server } = crashes[index]!
  const neighbours: Crash[] = []
  for (let before = index - 1; before >= 0 && crashes[before]!.at >= at - COMMON_EVENT_TIME; before--) neighbours.push(crashes[before]!)
  for (let after = index + 1; after < crashes.length && crashes[after]!.at <= at + COMMON_EVENT_TIME; after++) neighbours.push(crashes[after]!)
  return neighbours.filter((crash) => crash.server !== server)
}

/**
 * Servers that end together, some of them without the part, are more likely to have lost power or their connections.
 *
 * @param neighbours - crashes of other servers at almost the same time
 * @param part - a prompt part
 * @returns whether the crash is no evidence against the part
 */
export const isCommonEvent = (neighbours: readonly Crash[], part: PromptPart): boolean =>
  neighbours.some(({ suspects }) => suspects === 0) ||
  new Set(neighbours.filter(({ parts }) => !parts.has(part)).map(({ server }) => server)).size >= COMMON_EVENT_SERVERS
