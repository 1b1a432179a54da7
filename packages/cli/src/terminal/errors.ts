/** Errors that end an action, and the exit codes of the command line. */

/** Exit codes of every action. */
export const ExitCode = {
  Done: 0,
  /** The action was understood and could not be done, or found nothing. */
  Failed: 1,
  /** The command was given wrongly. */
  Usage: 2,
  /** No node answered. */
  Unreachable: 3
} as const
export type ExitCode = typeof ExitCode[keyof typeof ExitCode]

/** Ends an action with an exit code, a sentence and what to do next. */
export class ActionError extends Error {
  override readonly name = 'ActionError'

  /**
   * @param exitCode - of the process
   * @param message - what is wrong
   * @param next - what the operator does next
   */
  constructor (readonly exitCode: ExitCode, message: string, readonly next: string) {
    super(message)
  }
}

const isRecord = (value: unknown): value is Record<string, unknown> => typeof value === 'object' && value !== null

/**
 * Runs the body of an action: an `ActionError` is written to standard error and sets the exit code.
 *
 * @param args - the action's parsed arguments; with `json` the error is written as JSON
 * @param body - the action
 * @throws whatever the body throws besides `ActionError`
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
