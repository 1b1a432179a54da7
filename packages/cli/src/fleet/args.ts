/** Arguments that every action on the fleet takes. */
import { ActionError, ExitCode, parseDuration } from '../terminal/index.js'

export const FLEET_ARGS = {
  nodes: { type: 'string', valueHint: 'ip:port,...', description: 'admin addresses of the nodes (else BLUEBELLHILL_NODES)' },
  timeout: { type: 'string', valueHint: 'time', description: 'how long a node may take to answer', default: '5s' },
  json: { type: 'boolean', description: 'write JSON', default: false }
} as const

/**
 * Reads a length of time that the operator typed.
 *
 * @param option - the option's name
 * @param text - its value
 * @returns milliseconds
 * @throws ActionError where it is none
 */
export const durationOption = (option: string, text: string): number => {
  const millis = parseDuration(text)
  if (millis !== undefined && millis > 0) return millis
  throw new ActionError(ExitCode.Usage, `--${option} "${text}" is no length of time`, 'give one such as 500ms, 5s or 2m')
}
