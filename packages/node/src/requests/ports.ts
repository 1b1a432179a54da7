/** What a request needs of the rest of the node. */
import type { AttemptId, RequestSpec } from '@bluebellhill/domain'

import type { Metrics } from '../metrics/index.js'
import type { TimeLine } from '../timeline/index.js'
import type { Attempt, AttemptListener, AttemptSpec } from './Attempt.js'
import type { DispatchClient } from './DispatchClient.js'

/** Starts tries of one request; it knows the request's body. */
export abstract class AttemptSource {
  /**
   * Prepares a try.
   *
   * @param spec - where to send what
   * @param listener - told of everything that happens
   */
  abstract create (spec: AttemptSpec, listener: AttemptListener): Attempt

  /**
   * Stops a try on its backend server and frees its memory there. Never rejects.
   *
   * @param address - the backend server's `ip:port`
   * @param attempt - the try
   */
  abstract cancel (address: string, attempt: AttemptId): Promise<void>
}

/** The parts of the node that every request shares. */
export interface SessionPorts {
  readonly dispatchClient: DispatchClient
  readonly timeLine: TimeLine
  readonly metrics: Metrics
}

/** How a finished request went. */
export interface SessionReport {
  readonly spec: RequestSpec
  readonly firstTokenAt: number | null
  readonly finishedAt: number
}
