/** Checks the settings file that the users' platform writes for a node. */
import { parseSettings } from '@bluebellhill/platform'
import type { DocumentProblem } from '@bluebellhill/services'

/** Line of a field in a TOML file; 1 where it is missing. */
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
 * @param text - contents of the file
 * @param file - its path, for messages
 * @returns what cannot be used
 */
export const checkPlatformSettings = (text: string, file: string): DocumentProblem[] => {
  const settings = parseSettings(text)
  if (settings.ok) return []
  return settings.failure.map(({ field, message }) => ({ file, line: lineOf(text, field), field, message: 'cannot be used', allowed: message }))
}
