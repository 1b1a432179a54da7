/** Prefix of the keys of claims in the key-value service. */
export const KEY_PREFIX = 'bluebellhill/keys/'

/** Time between two looks for callers that have waited long enough, in milliseconds. */
export const TICK_PERIOD_MS = 50

/** Leases that one node holds during one retention time. */
export const LEASES_PER_RETENTION = 8
