/** Finds the action that the arguments name, checks its options and runs it. */
import { runCommand } from 'citty'
import type { ArgsDef } from 'citty'

import type { Action } from '../types.js'
import { ActionError, ExitCode, runAction } from './errors.js'
import { usageOf } from './usage.js'

const HELP_WORDS: ReadonlySet<string> = new Set(['--help', '-h', 'help'])

const isHelp = (args: readonly string[]): boolean => args.some((arg) => HELP_WORDS.has(arg))

const optionName = (arg: string): string => arg.replace(/^--(no-)?/, '').replace(/=.*$/, '')

/** Returns the first option that the action does not define; citty would ignore it silently. */
const unknownOption = (action: Action, args: readonly string[]): string | undefined => {
  const optionNames = new Set(Object.entries((action.args ?? {}) as ArgsDef).flatMap(([name, arg]) => {
    const alias = 'alias' in arg ? arg.alias ?? [] : []
    return [name, ...(Array.isArray(alias) ? alias : [alias])]
  }))
  const end = args.indexOf('--')
  const options = (end < 0 ? args : args.slice(0, end)).filter((arg) => arg.startsWith('--'))
  return options.find((arg) => !optionNames.has(optionName(arg)))
}

const isUsageError = (error: unknown): error is Error => error instanceof Error && error.name === 'CLIError'

const runNamedAction = async (name: string, action: Action, args: string[]): Promise<void> => {
  const help = `see "bluebellhill ${name} --help"`
  const unknown = unknownOption(action, args)
  if (unknown !== undefined) throw new ActionError(ExitCode.Usage, `"${name}" has no option "${unknown}"`, help)
  try {
    await runCommand(action, { rawArgs: args })
  } catch (error) {
    if (isUsageError(error)) throw new ActionError(ExitCode.Usage, error.message, help)
    throw error
  }
}

const dispatch = async (main: Action, actions: Readonly<Record<string, Action>>, args: string[]): Promise<void> => {
  const [name, ...rest] = args
  const action = name === undefined || !Object.hasOwn(actions, name) ? undefined : actions[name]
  if (name !== undefined && action === undefined && !isHelp([name])) {
    throw new ActionError(ExitCode.Usage, `there is no action "${name}"`, `use one of ${Object.keys(actions).join(', ')}; "bluebellhill --help" lists what each does`)
  }
  if (action === undefined || isHelp(rest)) {
    const named = action ?? actions[rest[0] ?? '']
    process.stdout.write(named === undefined ? await usageOf(main) : await usageOf(named, main))
    if (name === undefined) process.exitCode = ExitCode.Usage
    return
  }
  await runNamedAction(name!, action, rest)
}

/**
 * Runs the command line. Invalid arguments set exit code 2 and print what to do next.
 *
 * @param main - the command with all actions, from which the help is written
 * @param actions - the actions by name
 * @param args - the arguments after the program's name
 */
export const runCommandLine = (main: Action, actions: Readonly<Record<string, Action>>, args: string[]): Promise<void> =>
  runAction({ json: args.includes('--json') }, () => dispatch(main, actions, args))
