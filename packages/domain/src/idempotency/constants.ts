/** Limits and times of the idempotency register. */

/** Maximum number of keys in one write. A transaction of the store has at most 128 operations. */
export const MAX_BATCH_KEYS = 100

/** Maximum size of the records in one write, in bytes. */
export const MAX_BATCH_BYTES = 512 * 1024

/** Maximum number of unanswered writes of one node. */
export const MAX_BATCHES_IN_FLIGHT = 4

/** Maximum number of keys that a node claims, holds and concludes at the same time. */
export const MAX_ENTRIES = 20_000

/** Longest time that a caller waits for its key to be claimed, in milliseconds. */
export const CLAIM_TIMEOUT_MS = 2_000

/** Longest time that another caller with the same key waits at the same node for the outcome, in milliseconds. */
export const OUTCOME_WAIT_MS = 2_000

/** Time after a request's time limit within which the claiming node records the outcome, in milliseconds; the outcome then counts as unknown. */
export const CONCLUSION_MARGIN_MS = 10_000

/** Maximum length of an answer that is stored for replay, in characters of its encoding. */
export const MAX_ANSWER_LENGTH = 16 * 1024

/** Maximum size of the concluded records that a node caches for replay, in bytes. */
export const CACHE_BYTES = 8 * 1024 * 1024

/** Estimated size of a record without its answer, in bytes. */
export const RECORD_BYTES = 400

/** Retry delay suggested to a caller whose key is in progress, in milliseconds. */
export const IN_PROGRESS_RETRY_MS = 1_000

/** Backoff after the first failed write, in milliseconds; it doubles with each further failure. */
export const FIRST_BACKOFF_MS = 100

/** Longest backoff after a failed write, in milliseconds, without jitter. */
export const MAX_BACKOFF_MS = 2_000

/** Longest time between two writes while the store reports overload, in milliseconds. */
export const MAX_WRITE_PERIOD_MS = 1_000

/** Writes per second of a node whose share is not set yet. */
export const DEFAULT_WRITES_PER_SECOND = 30

/** Interval of the checks for expired waits of callers and expired claims, in milliseconds. */
export const EXPIRY_CHECK_INTERVAL_MS = 50

/** Number of writes beyond the first that a node may send without delay after an idle period. */
export const BURST_WRITES = 3
