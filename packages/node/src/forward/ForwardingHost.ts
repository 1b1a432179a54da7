/** Defines what the modules that forward one request share. */
import type { AttemptEnd, AttemptHistory, HealthSignal, Millis } from '@bluebellhill/domain'

import type { AdmittedCall } from './AdmittedCall.js'
import type { AttemptSearch } from './AttemptSearch.js'
import type { QuarantineVerdict } from './quarantine/NodeQuarantine.js'
import type { RequestGuard } from './quarantine/RequestGuard.js'
import type { RequestRelay } from './relay/RequestRelay.js'
import type { RequestEnding } from './RequestEnding.js'
import type { RequestLog } from './RequestLog.js'
import type { PlacedAttempt } from './scheduling/types.js'
import type { StartLimit } from './stop/StartLimit.js'
import type { ForwardingContext, OpenAttempt, SignedFailure } from './types.js'

/** How far one request has come. */
export interface RequestProgress {
  /** Attempt in progress whose silence is measured; null while one is being placed. */
  attempt: OpenAttempt | null
  attemptCount: number
  /** Last failure; empty if there was none. */
  lastProblem: string
  signedFailure: SignedFailure | null
}

/** One request, and what its modules ask of each other. */
export interface ForwardingHost {
  readonly context: ForwardingContext
  readonly call: AdmittedCall
  readonly history: AttemptHistory
  readonly requestLog: RequestLog
  readonly guard: RequestGuard
  readonly search: AttemptSearch
  readonly startLimit: StartLimit
  readonly relay: RequestRelay
  readonly ending: RequestEnding
  readonly progress: RequestProgress
  /** Id of the last event that the caller has received. */
  lastEventId: () => string | null
  /** Whether the head of an answer has been sent to the caller. */
  hasStartedAnswer: () => boolean
  /** Longest time without progress before the attempt is given up; null to wait until the deadline of the request, or while its server is held back. */
  dataTimeout: (attempt: OpenAttempt) => Millis | null
  /** Starts an attempt that has been placed; another one goes on beside a hedge. */
  open: (placed: PlacedAttempt, isHedge?: boolean) => void
  /** Ends the attempt in progress, and releases what it holds. The service time is that of a complete answer, if placement depends on it. */
  close: (attempt: OpenAttempt, signal?: HealthSignal | null, serviceTime?: Millis) => void
  /** Releases what an attempt holds. */
  release: (attempt: OpenAttempt, signal: HealthSignal | null) => void
  /** Ends an attempt without a complete answer. The signal is derived from the end if it is absent. */
  fail: (attempt: OpenAttempt, end: AttemptEnd, reason: string, signal?: HealthSignal | null) => void
  /** Ends the request after an error of this node. */
  failInternally: (error: unknown) => void
  refuseQuarantined: (verdict: QuarantineVerdict) => void
}
