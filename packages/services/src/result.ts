/** The outcome of a call that may fail in an expected way. */
export type Result<Value, Failure> =
  | { readonly ok: true, readonly value: Value }
  | { readonly ok: false, readonly failure: Failure }

/**
 * Wraps a value as a success.
 *
 * @param value - what the call produced
 * @returns the successful result
 */
export const success = <Value>(value: Value): Result<Value, never> => ({ ok: true, value })

/**
 * Wraps the description of a failure.
 *
 * @param failure - why the call produced nothing
 * @returns the failed result
 */
export const failed = <Failure>(failure: Failure): Result<never, Failure> => ({ ok: false, failure })
