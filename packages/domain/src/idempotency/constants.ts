/** Keys in one write at most: a transaction of the store holds no more than 128 operations. */
export const MAX_BATCH_KEYS = 100

/** Bytes of records in one write at most. */
export const MAX_BATCH_BYTES = 512 * 1024

/** Writes of one node that wait for an answer at the same time. */
export const MAX_BATCHES_IN_FLIGHT = 4

/** Keys that a node handles at the same time. */
export const MAX_ENTRIES = 20_000

/** Time for a caller to get its key claimed, in milliseconds. */
export const CLAIM_TIMEOUT_MS = 2_000

/** Time that a second caller of the same key waits at the same node for the outcome, in milliseconds. */
export const OUTCOME_WAIT_MS = 2_000

/** Time after a request's limit within which its owner records the outcome, in milliseconds. */
export const CONCLUSION_MARGIN_MS = 10_000

/** Longest answer that is kept for replay, in characters of its encoding. */
export const MAX_ANSWER_LENGTH = 16 * 1024

/** Bytes of concluded records that a node keeps for replay. */
export const CACHE_BYTES = 8 * 1024 * 1024

/** Size of a record besides its answer, in bytes. */
export const RECORD_BYTES = 400

/** Retry time towards a caller whose key is in progress, in milliseconds. */
export const IN_PROGRESS_RETRY_MS = 1_000

/** First and longest pause after a failed write, in milliseconds. */
export const FIRST_PAUSE_MS = 100
export const LONGEST_PAUSE_MS = 2_000

/** Slowest pace of writes when the store says that it is overloaded, in milliseconds. */
export const SLOWEST_WRITE_PERIOD_MS = 1_000

/** Writes a second of a node that has not been told its share. */
export const DEFAULT_WRITES_PER_SECOND = 30

/** Time between two looks for callers that have waited long enough, in milliseconds. */
export const EXPIRY_PERIOD_MS = 50

/** Writes that a node may send at once after it has not written for a while, beyond the first. */
export const BURST_WRITES = 3
