/** Names and keys of configuration values in the key-value service: `fleet` and `organisation/NAME`. */
import { ConfigurationKind } from './schema.js'
import type { ConfigurationFile } from './parseConfiguration.js'

/** Prefix of the keys of all configuration values. */
export const CONFIGURATION_PREFIX = 'bluebellhill/configuration/'

/** Name of the value with the fleet's configuration. */
export const FLEET_VALUE_NAME = 'fleet'

const ORGANISATION_PREFIX = 'organisation/'

/**
 * Returns the name of the value with an organisation's configuration.
 *
 * @param organisation - the organisation's name
 * @returns the value's name
 */
export const organisationValueName = (organisation: string): string => `${ORGANISATION_PREFIX}${organisation}`

/**
 * Returns the name of the value in which a configuration file is stored.
 *
 * @param file - a valid configuration file
 * @returns the value's name
 */
export const valueNameOfFile = (file: ConfigurationFile): string =>
  file.kind === ConfigurationKind.Fleet ? FLEET_VALUE_NAME : organisationValueName(file.name)

/**
 * Extracts the organisation's name from the name of a value.
 *
 * @param name - the value's name
 * @returns the organisation's name; null for the fleet's value
 */
export const organisationOfValue = (name: string): string | null =>
  name.startsWith(ORGANISATION_PREFIX) ? name.slice(ORGANISATION_PREFIX.length) : null

/**
 * Returns the key under which a value is stored.
 *
 * @param name - the value's name
 * @returns key in the key-value service
 */
export const keyOfValue = (name: string): string => `${CONFIGURATION_PREFIX}${name}`

/**
 * Extracts the name of a value from its key.
 *
 * @param key - key that begins with {@link CONFIGURATION_PREFIX}
 * @returns the value's name
 */
export const valueNameOfKey = (key: string): string => key.slice(CONFIGURATION_PREFIX.length)
