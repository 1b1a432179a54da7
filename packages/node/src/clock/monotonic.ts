/** The monotonic clock that every timeout and deadline of the daemon is measured on. */

/**
 * Reads the monotonic clock.
 *
 * @returns milliseconds since the process started
 */
export const monotonicNow = (): number => performance.now()
