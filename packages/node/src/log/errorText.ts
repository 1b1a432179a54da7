/**
 * @param error - what was thrown
 * @returns its stack for the log, or the value itself as text
 */
export const errorText = (error: unknown): string => error instanceof Error ? error.stack ?? error.message : String(error)
