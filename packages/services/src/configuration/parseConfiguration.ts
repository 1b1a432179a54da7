/** Reads a file that an operator wrote. */
import { z } from 'zod'

import { checkYaml, parseYaml } from '../document/decodeDocument.js'
import { ConfigurationKind, fleetSchema, organisationSchema } from './schema.js'
import type { DocumentProblem } from '../document/DocumentProblem.js'
import type { Result } from '../result.js'
import type { Fleet, Organisation } from './schema.js'

/** A checked file. */
export type ConfigurationFile = Fleet | Organisation

const kindSchema = z.looseObject({
  kind: z.enum(ConfigurationKind)
})

/**
 * Checks a file of the fleet or of an organisation.
 *
 * @param text - YAML
 * @param fileName - for problems
 * @returns the checked value, or every problem with file, line, field and what is allowed
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
