/** Writes the help of the command line, with examples. */
import { renderUsage } from 'citty'
import type { ArgsDef, CommandDef, CommandMeta } from 'citty'

/** Description of an action for its help, with complete example commands. */
export interface ActionMeta extends CommandMeta {
  readonly examples?: readonly string[]
  /** Additional lines of help. */
  readonly notes?: readonly string[]
}

const metaOf = async <Args extends ArgsDef>(command: CommandDef<Args>): Promise<ActionMeta> =>
  await (typeof command.meta === 'function' ? command.meta() : command.meta) ?? {}

const section = (title: string, lines: readonly string[] = []): string =>
  lines.length === 0 ? '' : `${title}\n\n${lines.map((line) => `  ${line}`).join('\n')}\n\n`

/**
 * Writes the help of an action, with its examples.
 *
 * @param command - the action
 * @param parent - the command to which the action belongs
 * @returns the help text
 */
export const usageOf = async <Args extends ArgsDef>(command: CommandDef<Args>, parent?: CommandDef): Promise<string> => {
  const usage = await renderUsage(command, parent as CommandDef<Args> | undefined)
  const { examples, notes } = await metaOf(command)
  const trimmed = usage.split('\n').map((line) => line.trimEnd()).join('\n').trimEnd()
  return `${trimmed}\n\n${section('EXAMPLES', examples)}${section('NOTES', notes)}`
}
