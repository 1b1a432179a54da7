/** Defaults of the dispatcher. Times are in milliseconds. */
import type { Millis } from '../types.js'

/** Time in which an entry node must have sent, after which its grant lapses. */
export const GRANT_VALIDITY: Millis = 2_000

/** Time that a grant is kept beyond its validity, for messages on the way. */
export const GRANT_MARGIN: Millis = 500

/** Time without progress after which an attempt counts as left by its entry node. */
export const PROGRESS_TIMEOUT: Millis = 6_000

/** Time that the attempts of a lost entry node are still kept. */
export const LOST_ENTRY_GRACE: Millis = 1_500

/** Silence of an attempt before its entry node's loss counts for it; one heard of later is of the node's next start. */
export const LOST_ENTRY_REPORT_AGE: Millis = 1_200

/** Time after a take-over in which entry nodes report the attempts that the new dispatcher did not grant. */
export const INHERITED_GRACE: Millis = 6_000

/** Time that an attempt which began after the take-over, without a grant of this dispatcher, is left alone. */
export const FOREIGN_GRACE: Millis = 8_000

/** Time that the end of an attempt is remembered, to tell a late report from a live attempt. */
export const ENDED_RETENTION: Millis = 30_000

/** Time constant over which offered work is averaged. */
export const DEMAND_WINDOW: Millis = 10_000

/** Waiting orders that one dispatch pass looks at. */
export const SCAN_LIMIT = 256

/** Weight of the newest sample in a learned rate. */
export const RATE_WEIGHT = 0.2

/** Length class from which a prompt is no longer among the shortest; an index of `LENGTH_CLASSES`. */
export const MIDDLE_CLASS = 1

/** Length class from which a prompt counts as long; an index of `LENGTH_CLASSES`. */
export const LONG_CLASS = 2

/** Wait that a dispatcher without a runner for long work states on top, so that others are preferred. */
export const NO_ELIGIBLE_RUNNER_DELAY: Millis = 5_000

/** Chunks of prefill before a prompt that a runner is given at once; the others wait where they can still be ranked. */
export const CHUNKS_AHEAD = 8

/** The same on a runner that was seen to answer in the order of arrival. */
export const CHUNKS_AHEAD_UNRANKED = 3

/** Weight of the time that a new prefill takes from each answer being generated on the same runner. */
export const DECODE_LOSS_WEIGHT = 2

/** The same for the short prompts that are to be expected on a runner kept for them. */
export const SHORT_BAND_LOSS_WEIGHT = 4

/** Time that one of the shortest prompts is expected to lose on a runner that is not kept for them. */
export const OUT_OF_BAND_DELAY: Millis = 30

/** Advantage that another dispatcher must have before a waiting long prompt is sent on. */
export const REDIRECT_MIN_GAIN: Millis = 500

/** Learned interference above which a runner counts as one that ignores priorities. */
export const UNRANKED_INTERFERENCE = 0.5

/** Delay of a short prompt above which a long one that was let in for want of work is recalled. */
export const RECALL_MIN_DELAY: Millis = 150

/** Share of a long prompt's prefill after which it is no longer recalled. */
export const RECALL_MAX_PREFILL_SHARE = 0.5

/** Share of its time after which a waiting long prompt may take any runner. */
export const ANY_RUNNER_WAIT_SHARE = 0.5

/** Retry time where the queue gives no estimate. */
export const MIN_RETRY_AFTER: Millis = 250

/** Longest retry time that a refusal names. */
export const MAX_RETRY_AFTER: Millis = 60_000
