/** Provides the monotonic clock for all timeouts and deadlines of the daemon. */

/** Returns the milliseconds since the process started; changes of the system time do not affect it. */
export const monotonicNow = (): number => performance.now()
