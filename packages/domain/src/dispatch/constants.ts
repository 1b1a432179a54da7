/** Default times, limits and weights of the dispatcher. */
import type { Millis } from '../types.js'

/** Time within which an entry node must send the granted attempt; after it the grant expires. */
export const GRANT_VALIDITY: Millis = 2_000

/** Time for which the dispatcher keeps a grant beyond its validity, to allow for messages in transit. */
export const GRANT_MARGIN: Millis = 500

/** Time without a progress report after which an attempt counts as abandoned by its entry node. */
export const PROGRESS_TIMEOUT: Millis = 6_000

/** Time for which the attempts of a lost entry node are kept. */
export const LOST_ENTRY_GRACE: Millis = 1_500

/**
 * When an entry node is lost, only attempts whose last report is older than this expire early.
 *
 * An attempt with a newer report belongs to the entry node's next process, which has already started.
 */
export const LOST_ENTRY_REPORT_AGE: Millis = 1_200

/** After a dispatcher takes over a runner, entry nodes have this long to report the attempts that already run on it. */
export const INHERITED_GRACE: Millis = 6_000

/** Time for which an attempt without a grant is kept if it started after this dispatcher took over the runner. */
export const FOREIGN_GRACE: Millis = 8_000

/** Time for which the end of an attempt is recorded, so that a late report does not count as a live attempt. */
export const ENDED_RETENTION: Millis = 30_000

/** Time constant of the moving average of the demand. */
export const DEMAND_WINDOW: Millis = 10_000

/** Maximum number of waiting orders that one dispatch pass examines. */
export const SCAN_LIMIT = 256

/** Weight of the newest sample in a learned prefill or decode rate. */
export const RATE_WEIGHT = 0.2

/** First length class above the shortest prompts, as an index of `LENGTH_CLASSES`. */
export const MIDDLE_CLASS = 1

/** First length class of long prompts, as an index of `LENGTH_CLASSES`. */
export const LONG_CLASS = 2

/** Added to the reported wait of a dispatcher without a runner for the length class, so that other dispatchers are preferred. */
export const NO_ELIGIBLE_RUNNER_DELAY: Millis = 5_000

/**
 * A prompt is granted only while fewer chunks of prefill than this are pending ahead of it on the runner.
 *
 * Otherwise it waits in the dispatcher's queue, where it can still be reordered.
 */
export const CHUNKS_AHEAD = 8

/** Limit in place of `CHUNKS_AHEAD` for a runner whose engine serves prompts in the order of arrival. */
export const CHUNKS_AHEAD_UNRANKED = 3

/** Weight of the delay that a new prefill causes to each answer being generated on the same runner. */
export const DECODE_LOSS_WEIGHT = 2

/** Weight of the delay that a middle-length prefill causes to the short prompts expected on a short-band runner. */
export const SHORT_BAND_LOSS_WEIGHT = 4

/** Expected delay of one of the shortest prompts on a runner outside the short band. */
export const OUT_OF_BAND_DELAY: Millis = 30

/** A waiting long prompt moves to another dispatcher only if that one's wait is shorter by more than this. */
export const REDIRECT_MIN_GAIN: Millis = 500

/** Learned interference above which the engine of a runner counts as one that ignores priorities. */
export const UNRANKED_INTERFERENCE = 0.5

/** A long prompt on a short-band runner is recalled only if a short prompt would be delayed by more than this. */
export const RECALL_MIN_DELAY: Millis = 150

/** A long prompt is recalled only before this share of its prefill is computed. */
export const RECALL_MAX_PREFILL_SHARE = 0.5

/** A long prompt may use any runner after it has waited for this share of the time until its deadline. */
export const ANY_RUNNER_WAIT_SHARE = 0.5

/** Shortest retry delay of a refusal; also used where the queue gives no estimate. */
export const MIN_RETRY_AFTER: Millis = 250

/** Longest retry delay of a refusal. */
export const MAX_RETRY_AFTER: Millis = 60_000
