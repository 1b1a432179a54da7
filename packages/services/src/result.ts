/** Result type of functions that report expected failures by return value instead of an exception. */
export type Result<Value, Failure> =
  | { readonly ok: true, readonly value: Value }
  | { readonly ok: false, readonly failure: Failure }

export const success = <Value>(value: Value): Result<Value, never> => ({ ok: true, value })

export const failed = <Failure>(failure: Failure): Result<never, Failure> => ({ ok: false, failure })
