/** Defaults of the choice of a dispatcher. */
import type { Millis } from '../types.js'

/** Time for which a summary may lack this node's own orders. */
export const GOSSIP_LAG: Millis = 1_000

/** Wait above which another failure domain is considered. */
export const SPILL_WAIT: Millis = 100

/** Advantage that another failure domain must have. */
export const SPILL_GAIN: Millis = 50

/** Largest load, as a multiple of the mean, at which prefix affinity holds. */
export const AFFINITY_BOUND = 1.25

/** Blocks of a prompt that name its prefix for affinity. */
export const AFFINITY_BLOCKS = 2

/** Estimated time, as a multiple of the time left, above which an entry node refuses by itself. */
export const REFUSAL_MARGIN = 1.5

/** Dispatchers that are drawn at random and compared. */
export const CHOICES = 3

/** Difference of waits below which two dispatchers count as equal. */
export const EQUAL_WAIT: Millis = 5
