/** Parses and validates the settings file of a node. */
import { decodeDocument } from '../document/decodeDocument.js'
import { settingsSchema } from './schema.js'
import type { DocumentProblem } from '../document/DocumentProblem.js'
import type { Result } from '../result.js'
import type { Settings } from './schema.js'

/**
 * Parses and validates the settings of a node.
 *
 * @param text - YAML
 * @param fileName - file name that problems are reported with
 * @returns the settings, or all problems with file, line, field and the allowed values
 */
export const loadSettings = (text: string, fileName: string): Result<Settings, readonly DocumentProblem[]> =>
  decodeDocument(text, fileName, settingsSchema)
