/** Parses and validates the YAML configuration file of the fleet or of an organisation. */
import { z } from 'zod'

import { checkYaml, parseYaml } from '../document/decodeDocument.js'
import { ConfigurationKind, fleetSchema, organisationSchema } from './schema.js'
import type { DocumentProblem } from '../document/DocumentProblem.js'
import type { Result } from '../result.js'
import type { Fleet, Organisation } from './schema.js'

/** Content of a valid configuration file. */
export type ConfigurationFile = Fleet | Organisation

const kindSchema = z.looseObject({
  kind: z.enum(ConfigurationKind)
})

/**
 * Parses a configuration file and validates it by the schema of its `kind`.
 *
 * @param text - YAML
 * @param fileName - file name that problems are reported with
 * @returns the content, or all problems with file, line, field and the allowed values
 */
export const parseConfiguration = (text: string, fileName: string): Result<ConfigurationFile, readonly DocumentProblem[]> => {
  const yaml = parseYaml(text, fileName)
  if (!yaml.ok) return yaml
  const kind = checkYaml(yaml.value, kindSchema)
  if (!kind.ok) return kind
  return kind.value.kind === ConfigurationKind.Fleet
    ? checkYaml(yaml.value, fleetSchema)
    : checkYaml(yaml.value, organisationSchema)
}
