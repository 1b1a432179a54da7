/** Names of the values in the key-value service. */
import { ConfigurationKind } from './schema.js'
import type { ConfigurationFile } from './parseConfiguration.js'

/** Prefix of every configuration key. */
export const CONFIGURATION_PREFIX = 'bluebellhill/configuration/'

/** Name of the fleet's value. */
export const FLEET_VALUE_NAME = 'fleet'

const ORGANISATION_PREFIX = 'organisation/'

/**
 * Names an organisation's value.
 *
 * @param organisation - the organisation's name
 * @returns the value's name
 */
export const organisationValueName = (organisation: string): string => `${ORGANISATION_PREFIX}${organisation}`

/**
 * Names the value that a file describes.
 *
 * @param file - a checked file
 * @returns the value's name
 */
export const valueNameOfFile = (file: ConfigurationFile): string =>
  file.kind === ConfigurationKind.Fleet ? FLEET_VALUE_NAME : organisationValueName(file.name)

/**
 * Gives the organisation of a value.
 *
 * @param name - the value's name
 * @returns the organisation's name, or null for the fleet's value
 */
export const organisationOfValue = (name: string): string | null =>
  name.startsWith(ORGANISATION_PREFIX) ? name.slice(ORGANISATION_PREFIX.length) : null

/**
 * Gives the key of a value.
 *
 * @param name - the value's name
 * @returns the key in the key-value service
 */
export const keyOfValue = (name: string): string => `${CONFIGURATION_PREFIX}${name}`

/**
 * Gives the value's name of a key.
 *
 * @param key - a key below the prefix
 * @returns the name
 */
export const valueNameOfKey = (key: string): string => key.slice(CONFIGURATION_PREFIX.length)
