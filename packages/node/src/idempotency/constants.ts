/** Constants of the idempotency service. */

/** Prefix of the keys under which claims are stored in the key-value service. */
export const KEY_PREFIX = 'bluebellhill/keys/'

/** Time between two checks for callers whose wait has timed out. */
export const TICK_PERIOD_MS = 50

/** Number of leases that one node acquires during one retention time. */
export const LEASES_PER_RETENTION = 8
