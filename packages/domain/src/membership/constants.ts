/** Periods, limits and sizes of membership and gossip. */
import type { MembershipTimings } from './types.js'

/** Longest datagram payload, in bytes. */
export const MAX_DATAGRAM_BYTES = 1_200

/** Bytes of a datagram that are not updates or values: authentication tag, sender and body. */
export const ENVELOPE_BYTES = 112

/** IPv4 and UDP headers of one datagram, in bytes. */
export const HEADER_BYTES = 28

/** A member is sent at most this many times log2(members) by one node after each change. */
export const UPDATE_RETRANSMIT_FACTOR = 1

/** Times that one node sends a version of a relayed value that anti-entropy does not cover. */
export const MAX_VALUE_TRANSMISSIONS = 3

/** Members that a node sends its own values of scope `subscribers` to. */
export const MAX_SUBSCRIBERS = 8

/** A value that was not renewed for this long, in milliseconds, says nothing any more; values are renewed each 10 s. */
export const VALUE_LIFETIME_MS = 25_000

/** Buckets of the anti-entropy digest. */
export const DIGEST_BUCKETS = 16

/** Datagrams sent in answer to one digest or join at most. */
export const MAX_SYNC_DATAGRAMS = 40

/** Bytes of changed members that may be sent at once after a quiet time. */
export const UPDATE_BURST_BYTES = 6_000

/** Successors in the failure domain's ring that a node probes each period. */
export const RING_SUCCESSORS = 2

/** Probes a second of members of a failure domain in which a suspect was found. */
export const EXTRA_PROBES_PER_SECOND = 4

/** Longest time between two ticks of a healthy node, in milliseconds. */
export const TICK_PERIOD_MS = 50

/** Time between two looks at a node's own summaries, in milliseconds. */
export const SUMMARY_CHECK_PERIOD_MS = 250

/** Time between two reports of a failure domain's aggregate to the others, in milliseconds. */
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
