/** Periods, limits and sizes of membership and gossip. */
import type { MembershipTimings } from './types.js'

/** Maximum datagram payload, in bytes. */
export const MAX_DATAGRAM_BYTES = 1_200

/** Bytes of a datagram that hold neither updates nor values: authentication tag, sender and body. */
export const ENVELOPE_BYTES = 112

/** IPv4 and UDP headers of one datagram, in bytes. */
export const HEADER_BYTES = 28

/** A node sends each change of a member at most this many times log2(number of members). */
export const UPDATE_RETRANSMIT_FACTOR = 1

/** Maximum number of times that a node sends one version of a relayed value that anti-entropy does not cover. */
export const MAX_VALUE_TRANSMISSIONS = 3

/** Maximum number of members to which a node sends its own values of scope `subscribers`. */
export const MAX_SUBSCRIBERS = 8

/** Time in milliseconds after which a value that was not renewed is no longer valid; publishers renew their values every 10 s. */
export const VALUE_LIFETIME_MS = 25_000

/** Number of buckets of the anti-entropy digest. */
export const DIGEST_BUCKETS = 16

/** Maximum number of datagrams sent in answer to one digest or join. */
export const MAX_SYNC_DATAGRAMS = 40

/** Bytes of changed member entries that may be sent at once after a period without changes. */
export const UPDATE_BURST_BYTES = 6_000

/** Number of successors in its failure domain's ring that a node probes each period. */
export const RING_SUCCESSORS = 2

/** Maximum number of extra probes per second, of members of failure domains in which a suspect was found. */
export const EXTRA_PROBES_PER_SECOND = 4

/** Maximum time between two ticks of a healthy node, in milliseconds. */
export const TICK_PERIOD_MS = 50

/** Time between two checks of a node's own dispatch summaries, in milliseconds. */
export const SUMMARY_CHECK_PERIOD_MS = 250

/** Time between two reports of a failure domain's aggregated dispatch summaries to the other failure domains, in milliseconds. */
export const AGGREGATE_REPORT_PERIOD_MS = 2_000

export const DEFAULT_TIMINGS: MembershipTimings = {
  probePeriod: 1_000,
  ackTimeout: 250,
  indirectTimeout: 350,
  relayTimeout: 150,
  suspicionTimeout: 800,
  pauseThreshold: 1_000,
  indirectProbes: 3,
  gossipPeriod: 250,
  fanout: 3,
  antiEntropyPeriod: 5_000,
  reconnectPeriod: 2_000,
  tombstoneLifetime: 300_000,
  maxLocalHealth: 8,
  updateBudget: 1_500,
  subscriberBudget: 2_100,
  relayBudget: 600
}
