/** Periods, delays and counts of the configuration service. */

/** Number of nodes in each failure domain that watch the key-value service. */
export const WATCHERS_PER_FAILURE_DOMAIN = 2

/** Mean time between two exchanges with a peer. */
export const EXCHANGE_PERIOD_MS = 1_500

/** Mean time between two reads of the whole configuration by a watching node; they detect a watch that no longer reports changes. */
export const FULL_READ_PERIOD_MS = 30_000

/** First and longest delay, before jitter, until the watch is reopened after a failure. */
export const FIRST_RETRY_DELAY_MS = 250
export const MAX_RETRY_DELAY_MS = 4_000

/** Mean time between two checks whether this node has to watch the store. */
export const WATCHER_CHECK_PERIOD_MS = 1_000

/** Longest random delay before a value is written back. */
export const MAX_WRITE_BACK_DELAY_MS = 1_000

/** Time between two write-backs of one node. */
export const WRITE_BACK_PERIOD_MS = 50

/** Fraction of exchanges that choose a peer in another failure domain. */
export const REMOTE_EXCHANGE_SHARE = 0.25

/** Number of members of the own failure domain to which a value from another failure domain is forwarded immediately. */
export const FORWARD_TARGETS = 3

/** Number of requests to peers that a starting node makes before it reads the store. */
export const MAX_INITIAL_REQUESTS = 3

/** Mean time that a starting node waits if membership has no peer yet. */
export const INITIAL_REQUEST_PAUSE_MS = 300
