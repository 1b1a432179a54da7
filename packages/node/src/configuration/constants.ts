/** Nodes of each failure domain that watch the key-value service. */
export const WATCHERS_PER_FAILURE_DOMAIN = 2

/** Time between two comparisons with a peer, in milliseconds. */
export const EXCHANGE_PERIOD_MS = 1_500

/** Time between two whole reads by a watching node, in milliseconds; finds a watch that went silent. */
export const FULL_READ_PERIOD_MS = 30_000

/** First and longest pause before the store is tried again, in milliseconds. */
export const FIRST_RETRY_DELAY_MS = 250
export const MAX_RETRY_DELAY_MS = 4_000

/** Time between two looks at who has to watch, in milliseconds. */
export const WATCHER_CHECK_PERIOD_MS = 1_000

/** Longest random delay before a value is written back, in milliseconds. */
export const MAX_WRITE_BACK_DELAY_MS = 1_000

/** Time between two write-backs of one node, in milliseconds. */
export const WRITE_BACK_PERIOD_MS = 50

/** Share of comparisons that go to another failure domain. */
export const REMOTE_EXCHANGE_SHARE = 0.25

/** Members of the own failure domain that hear of a value from another one at once. */
export const FORWARD_TARGETS = 3

/** Peers that a starting node asks before it reads the store. */
export const MAX_INITIAL_REQUESTS = 3

/** Mean pause before a starting node asks again where it knows no peer yet, in milliseconds. */
export const INITIAL_REQUEST_PAUSE_MS = 300
