/** Thresholds and bounds of the quarantine of prompt parts and requests. */
import type { Millis } from '../../types.js'

/** Moments and weight of evidence from which a part is quarantined. */
export interface Threshold {
  readonly moments: number
  /** Sum over the moments of the shares of evidence against the part. */
  readonly weight: number
  /** Moments that suffice whatever their weight is. */
  readonly sufficientMoments: number
  /** Time from the part's last sound answer to its last crash, or to the newest sound answer of any request if that is later. */
  readonly silence: Millis
  /** Moments from which on a shorter silence is enough: engines may all be gone within that time. */
  readonly burstMoments: number
}

/** For parts that were never seen in a sound answer. */
export const NEW_PART_THRESHOLD: Threshold = { moments: 2, weight: 1, sufficientMoments: 3, silence: 0, burstMoments: 0 }

/** For parts that were sound before: other causes are more likely. */
export const SOUND_PART_THRESHOLD: Threshold = { moments: 4, weight: 2, sufficientMoments: 5, silence: 1_000, burstMoments: 8 }

/** Moments from which a request is quarantined that is in at least `LEAST_REQUEST_SHARE` of the moments since its first crash. */
export const REQUEST_MOMENTS = 3

/** Time from the sound answer of a request to the crash that quarantines it: a popular request is in progress wherever servers end. */
export const REQUEST_SILENCE: Millis = 1_000

/** Below this share, servers end without the request about as often as with it, and it may only have been in progress there. */
export const LEAST_REQUEST_SHARE = 0.5

/** Moments from which a request is quarantined whatever else crashes meanwhile. */
export const SUFFICIENT_REQUEST_MOMENTS = 5

/** Trials of a quarantined request for as long as it comes again: each may end a server, and serves nobody but its caller. */
export const MAX_REQUEST_TRIALS = 3

/** Time from the first trial of a request to the second. */
export const REQUEST_TRIAL_GAP: Millis = 15_000

/** Crashes of a quarantined request, those before its quarantine included, from which on it gets no trial. */
export const MAX_REQUEST_CRASHES = 6

/** Crashes closer than this to the first of a moment belong to it. */
export const MOMENT_LENGTH: Millis = 50

/** Other servers' ends within this time, before or after, may have the same cause. */
export const COMMON_EVENT_TIME: Millis = 200

/** Number of unrelated servers whose ends make a common event. */
export const COMMON_EVENT_SERVERS = 2

/** Data that arrives this much later than a crash refutes the crash. */
export const SURVIVAL_DELAY: Millis = 50

/** A process that has crashed is not back sooner; the users' servers take seconds. */
export const MIN_RESTART_TIME: Millis = 500

/** Difference in time below which a fact about a part or a survival is the one that is known: it was only under way. */
export const FACT_TOLERANCE: Millis = 150

/** Time by which sound answers to others have to be newer than the part's own: its own may be recorded that much too early. */
export const CONTRAST_MARGIN: Millis = 2 * FACT_TOLERANCE

/** Share of the crashes meanwhile from which on a part is their likely cause even if nobody was answered after them. */
export const LIKELY_CAUSE_SHARE = 0.9

/** Difference in time below which two reports of a node on the same start are about the same end. */
export const SAME_END_TOLERANCE: Millis = 1_000

/** Time from the crash that decides a quarantine, or from a later one, to the first trial. */
export const FIRST_TRIAL_GAP: Millis = 500

/** Later gaps are this multiple of the time since the first trial. */
export const TRIAL_GAP_GROWTH = 15

/** Shortest time between a trial of one quarantined part and a repeated trial of another one, since each trial may crash an engine. */
export const FLEET_TRIAL_GAP: Millis = 20_000

export const MAX_TRIAL_GAP: Millis = 480_000

/** Time after which facts without a later crash of the same part expire. */
export const FACT_EXPIRY: Millis = 600_000

/** Time after which a further recurrence of a request is news to others: they need one within the expiry of facts. */
export const RECURRENCE_NEWS_GAP: Millis = 150_000

/** Number of requests whose recurrences are kept. */
export const MAX_RECURRING_REQUESTS = 256

/** Time between two searches for expired facts. */
export const EXPIRY_CHECK_GAP: Millis = 1_000

export const MAX_REPORTS = 256
export const MAX_SURVIVALS = 256
/** Number of parts whose trials are kept. */
export const MAX_TRIED_PARTS = 256
export const MAX_TRIALS_PER_PART = 8
export const MAX_SOUND_PARTS = 20_000

/** Upper bound of the parts in a crash report. */
export const MAX_REPORT_PARTS = 32

/** Upper bound of the requests in a crash report. */
export const MAX_REPORT_REQUESTS = 12

/** Upper bounds of what other nodes are told. */
export const MAX_SHARED_REPORTS = 64
export const MAX_SHARED_SOUNDS = 256
export const MAX_SHARED_SURVIVALS = 64
export const MAX_SHARED_TRIALS = 64
