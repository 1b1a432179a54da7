/** Reads the operators' configuration from files, for a setup without a key-value service. */
import { readFile } from 'node:fs/promises'

import { Configuration, ConfigurationKind, formatProblem, parseConfiguration } from '@bluebellhill/services'
import type { Fleet, Organisation } from '@bluebellhill/services'

/**
 * Reads and checks configuration files.
 *
 * @param files - paths of the files
 * @returns the configuration, or null if `files` is empty
 * @throws Error that lists every problem of one invalid file
 */
export const loadConfigurationFiles = async (files: readonly string[]): Promise<Configuration | null> => {
  if (files.length === 0) return null
  const values = await Promise.all(files.map(readConfigurationFile))
  const fleet = values.find((value) => value.kind === ConfigurationKind.Fleet) ?? null
  return new Configuration(fleet, values.filter((value) => value.kind === ConfigurationKind.Organisation))
}

const readConfigurationFile = async (file: string): Promise<Fleet | Organisation> => {
  const result = parseConfiguration(await readFile(file, 'utf8'), file)
  if (result.ok) return result.value
  throw new Error(result.failure.map(formatProblem).join('\n'))
}
