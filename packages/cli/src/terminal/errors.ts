/** Exit codes of the command line, and the error that ends an action with one of them. */

/** Exit codes of every action. */
export const ExitCode = {
  Done: 0,
  /** The command was valid, but the action failed or found nothing. */
  Failed: 1,
  /** The action, an option or an argument is invalid. */
  Usage: 2,
  /** No node or no key-value service answered. */
  Unreachable: 3
} as const
export type ExitCode = typeof ExitCode[keyof typeof ExitCode]

/** Error that ends an action with an exit code, a message, and advice on what to do next. */
export class ActionError extends Error {
  override readonly name = 'ActionError'

  /**
   * @param exitCode - exit code of the process
   * @param message - describes the failure
   * @param next - what the operator can do next
   */
  constructor (readonly exitCode: ExitCode, message: string, readonly next: string) {
    super(message)
  }
}

const isRecord = (value: unknown): value is Record<string, unknown> => typeof value === 'object' && value !== null

/**
 * Runs the body of an action. An `ActionError` is written to standard error and sets the exit code.
 *
 * @param args - the action's parsed arguments; with `json` the error is written as JSON
 * @param body - the action
 * @throws any other error of the body
 */
export const runAction = async (args: unknown, body: () => Promise<void> | void): Promise<void> => {
  try {
    await body()
  } catch (error) {
    if (!(error instanceof ActionError)) throw error
    process.exitCode = error.exitCode
    const asJson = isRecord(args) && args.json === true
    const text = asJson
      ? JSON.stringify({ error: { message: error.message, next: error.next } })
      : `error: ${error.message}\n next: ${error.next}`
    process.stderr.write(`${text}\n`)
  }
}
