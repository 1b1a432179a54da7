/** Schemas of field types that the settings and the operators' configuration share: names, addresses, durations, sizes, numbers. */
import { isIPv4, isIPv6 } from 'node:net'
import { z } from 'zod'

import type { Millis } from '@bluebellhill/domain'

const MAX_PORT = 65_535
const NAME = /^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$/
const DURATION = /^(\d{1,9}(?:\.\d{1,3})?)(ms|s|m|h|d)$/
const SIZE = /^(\d{1,9})(B|KiB|MiB|GiB)$/

const DURATION_UNITS: Readonly<Record<string, number>> = { ms: 1, s: 1_000, m: 60_000, h: 3_600_000, d: 86_400_000 }
const SIZE_UNITS: Readonly<Record<string, number>> = { B: 1, KiB: 1_024, MiB: 1_048_576, GiB: 1_073_741_824 }

/** Schema of a name, such as that of a node, a model or an organisation. */
export const nameField = z.string().regex(NAME)
  .meta({ allowed: 'a name of at most 63 letters, digits, "." "_" "-" that begins with a letter or a digit' })

const parseAddress = (text: string): { ip: string, port: number } | null => {
  const match = /^(?:\[([0-9A-Fa-f:.]+)\]|([0-9.]+)):(\d{1,5})$/.exec(text)
  if (match === null) return null
  const ip = match[1] ?? match[2] ?? ''
  const valid = match[1] === undefined ? isIPv4(ip) : isIPv6(ip)
  return valid ? { ip, port: Number(match[3]) } : null
}

const isAddress = (text: string, minPort: number): boolean => {
  const address = parseAddress(text)
  return address !== null && address.port >= minPort && address.port <= MAX_PORT
}

/** Schema of an `ip:port` address of another process. */
export const addressField = z.string().refine((text) => isAddress(text, 1))
  .meta({ allowed: 'an IP address and a port, such as 10.0.0.1:7400' })

/** Schema of an `ip:port` address to listen on; with port 0, the operating system assigns a free port. */
export const listenField = z.string().refine((text) => isAddress(text, 0))
  .meta({ allowed: 'an IP address and a port, such as 10.0.0.1:7400; port 0 selects a free port' })

/** Schema of an IP address without a port. */
export const ipField = z.string().refine((text) => isIPv4(text) || isIPv6(text))
  .meta({ allowed: 'an IP address, such as 10.0.0.1' })

/**
 * Parses a duration.
 *
 * @param text - a number and a unit, such as `250ms`
 * @returns milliseconds; null if the text is no duration
 */
export const parseDuration = (text: string): Millis | null => {
  const match = DURATION.exec(text)
  return match === null ? null : Number(match[1]) * DURATION_UNITS[match[2]!]!
}

const isWithin = (value: number | null, min: number, max: number): boolean => value !== null && value >= min && value <= max

/**
 * Creates the schema of a duration.
 *
 * @param min - shortest duration, such as `100ms`
 * @param max - longest duration, such as `1d`
 * @returns schema that accepts text with a unit and outputs milliseconds
 */
export const durationField = (min: string, max: string): z.ZodType<Millis, string> => {
  const bounds = [parseDuration(min)!, parseDuration(max)!] as const
  return z.string().refine((text) => isWithin(parseDuration(text), ...bounds))
    .meta({ allowed: `a time from ${min} to ${max}, such as 500ms, 30s, 5m, 2h or 1d` })
    .transform((text) => parseDuration(text)!)
}

const parseSize = (text: string): number | null => {
  const match = SIZE.exec(text)
  return match === null ? null : Number(match[1]) * SIZE_UNITS[match[2]!]!
}

/**
 * Creates the schema of a size in bytes.
 *
 * @param min - smallest size, such as `1KiB`
 * @param max - largest size, such as `16MiB`
 * @returns schema that accepts text with a unit and outputs bytes
 */
export const sizeField = (min: string, max: string): z.ZodType<number, string> => {
  const bounds = [parseSize(min)!, parseSize(max)!] as const
  return z.string().refine((text) => isWithin(parseSize(text), ...bounds))
    .meta({ allowed: `a size from ${min} to ${max}, such as 512KiB or 8MiB` })
    .transform((text) => parseSize(text)!)
}

/**
 * Creates the schema of an integer.
 *
 * @param min - smallest allowed value
 * @param max - largest allowed value
 * @returns the schema
 */
export const countField = (min: number, max: number): z.ZodType<number, number> =>
  z.number().int().min(min).max(max).meta({ allowed: `a whole number from ${min} to ${max}` })

/**
 * Creates the schema of a number that may have a fraction.
 *
 * @param min - smallest allowed value
 * @param max - largest allowed value
 * @returns the schema
 */
export const numberField = (min: number, max: number): z.ZodType<number, number> =>
  z.number().min(min).max(max).meta({ allowed: `a number from ${min} to ${max}` })

/**
 * Creates a check that reports list entries whose name occurs earlier in the list.
 *
 * @param nameOf - returns the name of an entry
 * @param noun - noun for an entry in the message, such as `model`
 * @returns check for `superRefine`
 */
export const uniqueBy = <Entry>(nameOf: (entry: Entry) => string, noun: string) =>
  (entries: readonly Entry[], context: { addIssue: (issue: { code: 'custom', path: PropertyKey[], message: string, params: { allowed: string } }) => void }): void => {
    const seen = new Set<string>()
    entries.forEach((entry, index) => {
      const name = nameOf(entry)
      if (seen.has(name)) {
        context.addIssue({ code: 'custom', path: [index], message: `repeats the ${noun} "${name}"`, params: { allowed: `each ${noun} once` } })
      }
      seen.add(name)
    })
  }
