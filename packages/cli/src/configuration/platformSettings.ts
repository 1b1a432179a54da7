/** Validates the settings file that the users' platform writes for a node. */
import { parseSettings } from '@bluebellhill/platform'
import type { DocumentProblem } from '@bluebellhill/services'

/** Finds the line number of a field in a TOML file; 1 if the field is missing. */
const lineOf = (text: string, field: string): number => {
  const path = field.split('.')
  const key = path.at(-1) ?? ''
  const table = path.slice(0, -1).join('.')
  let current = ''
  for (const [index, line] of text.split('\n').entries()) {
    current = /^\s*\[([^[\]]+)\]/.exec(line)?.[1]?.trim() ?? current
    if (current === table && line.trim().split(/\s*=/, 1)[0] === key) return index + 1
  }
  return 1
}

/**
 * Validates the settings of the users' platform.
 *
 * @param text - contents of the file
 * @param file - path of the file, for messages
 * @returns the invalid fields; empty if the settings are valid
 */
export const checkPlatformSettings = (text: string, file: string): DocumentProblem[] => {
  const settings = parseSettings(text)
  if (settings.ok) return []
  return settings.failure.map(({ field, message }) => ({ file, line: lineOf(text, field), field, message: 'cannot be used', allowed: message }))
}
