/** What a soak does and finds. */

/** What a caller sends. */
export const RequestKind = {
  Safe: 'safe',
  Unsafe: 'unsafe',
  Stream: 'stream',
  /** A safe request whose caller leaves before the answer. */
  Leaving: 'leaving'
} as const
export type RequestKind = typeof RequestKind[keyof typeof RequestKind]

/** What one caller saw of one request. Times are milliseconds on the monotonic clock. */
export interface Exchange {
  readonly id: string
  readonly kind: RequestKind
  readonly path: string
  /** Parts of its prompt, the last of which no other request has; empty if it has no prompt. */
  readonly parts: readonly string[]
  /** Index of the node that it was sent to. */
  readonly node: number
  readonly sentAt: number
  /** When the caller had a connection for it, from which its deadline counts; null while it waits for one. */
  writtenAt: number | null
  readonly deadline: number
  endedAt: number | null
  /** Null where no head of an answer came. */
  status: number | null
  body: string
  /** Whether the answer was framed as complete. */
  whole: boolean
  /** Whether the caller left on purpose. */
  left: boolean
  error: string
  /** Whether the caller ended the connection because no answer had come for long after its deadline. */
  gaveUp: boolean
}

/** A promise that was not kept. */
export interface Violation {
  readonly rule: string
  readonly detail: string
}

/** A step of the schedule. */
export interface FaultStep {
  /** Milliseconds after the start of traffic. */
  readonly at: number
  readonly name: string
  /** Milliseconds from the start of traffic until which it goes on at least; unset for the usual duration. */
  readonly trafficUntil?: number
  readonly run: () => void | Promise<void>
}

export interface SoakReport {
  readonly seed: number
  readonly requests: number
  readonly answered: number
  readonly refused: number
  readonly failed: number
  readonly runs: number
  /** Ends of servers because of requests. */
  readonly crashes: number
  readonly faults: readonly string[]
  readonly violations: readonly Violation[]
}

/** A time in which a server named the same limit in all its answers. Times are milliseconds on the monotonic clock. */
export interface LimitedSpan {
  /** Id of the server. */
  readonly server: string
  readonly perSecond: number
  readonly from: number
  until: number
}

/** A failure domain that the operator has evacuated for a time. Times are milliseconds on the monotonic clock. */
export interface Evacuation {
  readonly failureDomain: string
  readonly from: number
  until: number
}

/** A server that ends soon. */
export interface Leaving {
  /** Id of the server. */
  readonly server: string
  /** Time on the monotonic clock since which it says so, in milliseconds. */
  readonly from: number
  /** Whether the store says so too; otherwise only its answers do. */
  readonly isInStore: boolean
  /** Time at which its process ended; infinity while it runs. The next process under the same id does not leave. */
  until: number
}
