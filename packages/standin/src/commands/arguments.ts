/** Arguments that the stand-ins' commands share. */
import type { Disposable } from '../Disposables.js'
import type { StandinServer } from '../http/StandinServer.js'

/** Arguments of every stand-in. */
export const commonArgs = {
  name: { type: 'string', description: 'Name in the ready line', default: 'standin' },
  listen: { type: 'string', description: 'ip:port; port 0 takes any free one', default: '127.0.0.1:0' },
  'exit-with-parent': { type: 'boolean', description: 'Stop when the standard input closes', default: false }
} as const

/**
 * Describes a numeric argument.
 *
 * @param description - for the help
 * @param value - the default
 * @returns the argument
 */
export const numberArg = (description: string, value: number) =>
  ({ type: 'string', description, default: String(value) }) as const

/**
 * Reads a number.
 *
 * @param text - the argument
 * @returns its value
 * @throws when it is not a number
 */
export const numberOf = (text: string): number => {
  const value = Number(text)
  if (text === '' || !Number.isFinite(value)) throw new Error(`"${text}" is not a number`)
  return value
}

/**
 * Reads one of a set of words.
 *
 * @param choices - constant object of the words
 * @param text - the argument
 * @returns the word
 * @throws when it is none of them
 */
export const choiceOf = <Choice extends string>(choices: Readonly<Record<string, Choice>>, text: string): Choice => {
  const choice = Object.values(choices).find((value) => value === text)
  if (choice === undefined) throw new Error(`"${text}" is none of ${Object.values(choices).join(', ')}`)
  return choice
}

/**
 * Announces a stand-in and stops it on a signal.
 *
 * @param server - what listens
 * @param owner - what is disposed
 * @param exitWithParent - whether the end of the standard input stops it too
 */
export const runUntilStopped = async (server: StandinServer, owner: Disposable, exitWithParent: boolean): Promise<void> => {
  const stop = (): void => {
    void Promise.resolve(owner.dispose()).then(() => process.exit(0))
  }
  process.once('SIGTERM', stop)
  process.once('SIGINT', stop)
  if (exitWithParent) process.stdin.resume().once('end', stop)
  await server.announce()
}
