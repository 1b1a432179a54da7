/** Reads a daemon's settings. */
import { decodeDocument } from '../document/decodeDocument.js'
import { settingsSchema } from './schema.js'
import type { DocumentProblem } from '../document/DocumentProblem.js'
import type { Result } from '../result.js'
import type { Settings } from './schema.js'

/**
 * Checks the settings of a daemon.
 *
 * @param text - YAML
 * @param fileName - for problems
 * @returns the settings, or every problem with file, line, field and what is allowed
 */
export const loadSettings = (text: string, fileName: string): Result<Settings, readonly DocumentProblem[]> =>
  decodeDocument(text, fileName, settingsSchema)
