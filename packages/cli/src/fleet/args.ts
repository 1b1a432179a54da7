/** Command line options that all actions on a fleet share. */
import { ActionError, ExitCode, parseDuration } from '../terminal/index.js'

export const FLEET_ARGS = {
  nodes: { type: 'string', valueHint: 'ip:port,...', description: 'admin addresses of the nodes (else BLUEBELLHILL_NODES)' },
  timeout: { type: 'string', valueHint: 'time', description: 'time limit for the answer of a node', default: '5s' },
  json: { type: 'boolean', description: 'write JSON', default: false }
} as const

/**
 * Parses an option whose value is a positive duration.
 *
 * @param option - name of the option, for the error message
 * @param text - value as typed
 * @returns the duration in milliseconds
 * @throws ActionError if the value is not a positive duration
 */
export const durationOption = (option: string, text: string): number => {
  const millis = parseDuration(text)
  if (millis !== undefined && millis > 0) return millis
  throw new ActionError(ExitCode.Usage, `--${option} "${text}" is no length of time`, 'give one such as 500ms, 5s or 2m')
}
