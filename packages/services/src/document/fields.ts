/** Kinds of fields that settings and operators' configuration share. */
import { isIPv4, isIPv6 } from 'node:net'
import { z } from 'zod'

import type { Millis } from '@bluebellhill/domain'

const MAX_PORT = 65_535
const NAME = /^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$/
const DURATION = /^(\d{1,9}(?:\.\d{1,3})?)(ms|s|m|h|d)$/
const SIZE = /^(\d{1,9})(B|KiB|MiB|GiB)$/

const DURATION_UNITS: Readonly<Record<string, number>> = { ms: 1, s: 1_000, m: 60_000, h: 3_600_000, d: 86_400_000 }
const SIZE_UNITS: Readonly<Record<string, number>> = { B: 1, KiB: 1_024, MiB: 1_048_576, GiB: 1_073_741_824 }

/** A name of a node, a model, an organisation and so on. */
export const nameField = z.string().regex(NAME)
  .meta({ allowed: 'a name of at most 63 letters, digits, "." "_" "-" that begins with a letter or a digit' })

const splitAddress = (text: string): { ip: string, port: number } | null => {
  const match = /^(?:\[([0-9A-Fa-f:.]+)\]|([0-9.]+)):(\d{1,5})$/.exec(text)
  if (match === null) return null
  const ip = match[1] ?? match[2] ?? ''
  const valid = match[1] === undefined ? isIPv4(ip) : isIPv6(ip)
  return valid ? { ip, port: Number(match[3]) } : null
}

const isAddress = (text: string, lowestPort: number): boolean => {
  const address = splitAddress(text)
  return address !== null && address.port >= lowestPort && address.port <= MAX_PORT
}

/** Where to reach another process. */
export const addressField = z.string().refine((text) => isAddress(text, 1))
  .meta({ allowed: 'an IP number and a port, such as 10.0.0.1:7400' })

/** Where to listen; port 0 takes a free one. */
export const listenField = z.string().refine((text) => isAddress(text, 0))
  .meta({ allowed: 'an IP number and a port, such as 10.0.0.1:7400; port 0 takes a free one' })

/** An IP number without a port. */
export const ipField = z.string().refine((text) => isIPv4(text) || isIPv6(text))
  .meta({ allowed: 'an IP number, such as 10.0.0.1' })

/**
 * Reads a length of time.
 *
 * @param text - a number and a unit, such as `250ms`
 * @returns milliseconds, or null where it is none
 */
export const readDuration = (text: string): Millis | null => {
  const match = DURATION.exec(text)
  return match === null ? null : Number(match[1]) * DURATION_UNITS[match[2]!]!
}

const within = (value: number | null, least: number, most: number): boolean => value !== null && value >= least && value <= most

/**
 * Makes a field for a length of time.
 *
 * @param least - shortest, as it is written
 * @param most - longest, as it is written
 * @returns a schema that gives milliseconds
 */
export const durationField = (least: string, most: string): z.ZodType<Millis, string> => {
  const bounds = [readDuration(least)!, readDuration(most)!] as const
  return z.string().refine((text) => within(readDuration(text), ...bounds))
    .meta({ allowed: `a time from ${least} to ${most}, such as 500ms, 30s, 5m, 2h or 1d` })
    .transform((text) => readDuration(text)!)
}

const readSize = (text: string): number | null => {
  const match = SIZE.exec(text)
  return match === null ? null : Number(match[1]) * SIZE_UNITS[match[2]!]!
}

/**
 * Makes a field for a number of bytes.
 *
 * @param least - smallest, as it is written
 * @param most - largest, as it is written
 * @returns a schema that gives bytes
 */
export const sizeField = (least: string, most: string): z.ZodType<number, string> => {
  const bounds = [readSize(least)!, readSize(most)!] as const
  return z.string().refine((text) => within(readSize(text), ...bounds))
    .meta({ allowed: `a size from ${least} to ${most}, such as 512KiB or 8MiB` })
    .transform((text) => readSize(text)!)
}

/**
 * Makes a field for a whole number.
 *
 * @param least - smallest
 * @param most - largest
 * @returns the schema
 */
export const countField = (least: number, most: number): z.ZodType<number, number> =>
  z.number().int().min(least).max(most).meta({ allowed: `a whole number from ${least} to ${most}` })

/**
 * Makes a field for a number.
 *
 * @param least - smallest
 * @param most - largest
 * @returns the schema
 */
export const numberField = (least: number, most: number): z.ZodType<number, number> =>
  z.number().min(least).max(most).meta({ allowed: `a number from ${least} to ${most}` })

/**
 * Reports entries of a list that share a name.
 *
 * @param key - gives an entry's name
 * @param noun - what an entry is
 * @returns a check for `superRefine`
 */
export const uniqueBy = <Entry>(key: (entry: Entry) => string, noun: string) =>
  (entries: readonly Entry[], context: { addIssue: (issue: { code: 'custom', path: PropertyKey[], message: string, params: { allowed: string } }) => void }): void => {
    const seen = new Set<string>()
    entries.forEach((entry, index) => {
      const name = key(entry)
      if (seen.has(name)) {
        context.addIssue({ code: 'custom', path: [index], message: `repeats the ${noun} "${name}"`, params: { allowed: `each ${noun} once` } })
      }
      seen.add(name)
    })
  }
