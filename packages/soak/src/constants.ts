/** Sizes and bounds of a soak. */

/** Times in milliseconds. */
export const TRAFFIC_MS = 9_000
export const FAULTS_FROM_MS = 800
export const FAULTS_UNTIL_MS = 6_500

/** Time after the last fault within which every node serves again. */
export const RECOVERY_MS = 5_000

/** Time that a node may take to give its final answer after the caller's deadline. */
export const ANSWER_SLACK_MS = 400

/** Time within which the work for a caller who has left is stopped. */
export const ABANDON_MS = 500

/** Tolerance for delays of the soak's own process. */
export const MEASURE_SLACK_MS = 400

/** Time after which a draining server must not receive new requests. */
export const DRAIN_MS = 2_000

/** Time after the write of an evacuation from which no new request may reach the failure domain. */
export const EVACUATION_MS = 5_000

/** Time after a server first states a request limit from which all nodes must keep to it. */
export const LIMIT_KNOWN_MS = 1_000

/** Length of the windows over which requests are compared with the limit of a server. */
export const LIMIT_WINDOW_MS = 4_000

/** Bounds on the requests of a window: a multiple of what the limit allows, and some more. */
export const LIMIT_RATIO = 1.5
export const LIMIT_SLACK = 5

/** Time after which a requested pause must be kept, and requests of one node that are tolerated in it. */
export const PAUSE_KNOWN_MS = 500
export const PAUSE_SLACK = 2

/** Time after which a removed key is refused by every node. */
export const REVOKE_MS = 5_000

/** Time within which nodes in touch learn what others know. */
export const CONTACT_MS = 3_000

/** Crashes of servers after which their cause is known. */
export const CRASHES_UNTIL_KNOWN = {
  /** A part of a prompt. */
  part: 5,
  /** One request that comes again. */
  request: 3
} as const

/** Requests with a known cause that may still reach servers. */
export const MOST_AFTER_KNOWN = 3

/** Duration of the traffic of a soak with a crashing part. */
export const CRASHING_PART_TRAFFIC_MS = 15_000

/** Share of the sound requests beside a crashing part that are served, and number of requests from which it is judged. */
export const LEAST_SERVED_SHARE = 0.5
export const FEWEST_SAMPLES = 20

/** Time until the store removes the entry of a crashed server. */
export const LEASE_MS = 1_500

export const STOP_GRACE_S = 4

/** Limits of the retry budget. */
export const RETRY_RATIO = 0.2
export const RETRY_SLACK = 30

export const NODES = 3
export const CALLERS_PER_NODE = 4

/** Servers of each service. */
export const SERVERS_PER_SERVICE = 4

export const HOST = 'soak.example'
export const PLAIN_SERVICE = 'app'
export const ENGINE_SERVICE = 'lm'

export const KEPT_KEY = 'key-that-stays'
export const REMOVED_KEY = 'key-that-goes'

/** Ports on the addresses of one soak. */
export const PORT = {
  callers: 8_060,
  readiness: 8_061,
  peers: 7_120,
  store: 8_068,
  server: 8_129
} as const
