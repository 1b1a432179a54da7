/** Constants for choosing a dispatcher. */
import type { Millis } from '../types.js'

/** Orders that were placed at least this long before a summary arrived are assumed to be included in it. */
export const GOSSIP_LAG: Millis = 1_000

/** Queue delay in the own failure domain above which dispatchers of other failure domains are considered. */
export const SPILLOVER_QUEUE_DELAY: Millis = 100

/** Advantage in time to first token that a dispatcher of another failure domain must exceed to be chosen. */
export const SPILLOVER_MIN_GAIN: Millis = 50

/** Largest queue delay, as a multiple of the candidates' mean, at which prefix affinity decides. */
export const AFFINITY_LOAD_BOUND = 1.25

/** Number of leading prompt blocks that identify its prefix for affinity. */
export const AFFINITY_BLOCKS = 2

/** Estimated time to first token, as a multiple of the time until the deadline, above which the entry node refuses a request itself. */
export const REFUSAL_FACTOR = 1.5

/** Number of dispatchers that are drawn at random and compared. */
export const SAMPLE_SIZE = 3

/** Difference in time to first token up to which two dispatchers count as equal. */
export const WAIT_TOLERANCE: Millis = 5
