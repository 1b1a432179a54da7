/** Formats counts, durations and times for people, and parses durations that they type. */
import type { Stamp } from '@bluebellhill/protocol'
import { wallOf } from '@bluebellhill/protocol'

const SECOND = 1_000
const MINUTE = 60 * SECOND
const HOUR = 60 * MINUTE
const DAY = 24 * HOUR

const NUMBERS = new Intl.NumberFormat('en')

/**
 * Formats a count.
 *
 * @param value - the count
 * @returns its digits in groups of three
 */
export const formatCount = (value: number): string => NUMBERS.format(value)

/**
 * Formats a count with a noun, such as "1 attempt" or "3 attempts".
 *
 * @param count - the count
 * @param noun - the noun in the singular; its plural must end in "s"
 * @returns the count and the noun
 */
export const plural = (count: number, noun: string): string => `${formatCount(count)} ${noun}${count === 1 ? '' : 's'}`

/**
 * Formats a duration in units that suit its length, from milliseconds to days.
 *
 * @param millis - the duration in milliseconds
 * @returns the duration with its unit
 */
export const formatDuration = (millis: number): string => {
  if (!Number.isFinite(millis)) return 'an unknown time'
  if (millis < SECOND) return `${Math.round(millis)} ms`
  if (millis < MINUTE) return `${(millis / SECOND).toFixed(millis < 10 * SECOND ? 2 : 1)} s`
  if (millis < HOUR) return `${Math.floor(millis / MINUTE)} min ${Math.round(millis % MINUTE / SECOND)} s`
  if (millis < DAY) return `${Math.floor(millis / HOUR)} h ${Math.round(millis % HOUR / MINUTE)} min`
  return `${Math.floor(millis / DAY)} d ${Math.round(millis % DAY / HOUR)} h`
}

/** Milliseconds in each unit that `parseDuration` accepts. */
const UNITS: Readonly<Record<string, number>> = { ms: 1, s: SECOND, m: MINUTE, h: HOUR, d: DAY }

/**
 * Parses a duration such as `500ms`, `30s`, `5m`, `2h` or `1d`.
 *
 * @param text - what the operator typed
 * @returns milliseconds, or undefined if the text is not a duration
 */
export const parseDuration = (text: string): number | undefined => {
  const match = /^(\d+(?:\.\d+)?)(ms|s|m|h|d)$/.exec(text)
  return match === null ? undefined : Number(match[1]) * UNITS[match[2]!]!
}

/** Greatest time that a `Date` can represent, in milliseconds since the epoch. */
const MAX_DATE = 8.64e15

/**
 * Formats a point in time.
 *
 * @param wall - milliseconds since the epoch
 * @returns date and time of day in UTC, to the millisecond
 */
export const formatTime = (wall: number): string => new Date(Math.min(MAX_DATE, wall)).toISOString().replace('T', ' ').replace('Z', '')

/**
 * Formats the time of day of a stamp.
 *
 * @param stamp - a stamp of the hybrid logical clock
 * @returns the time of day in UTC, to the millisecond
 */
export const formatStamp = (stamp: Stamp): string => formatTime(wallOf(stamp)).slice(11)
