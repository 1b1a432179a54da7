/** Interfaces through which a request session uses the rest of the node. */
import type { AttemptId, RequestSpec } from '@bluebellhill/domain'

import type { Metrics } from '../metrics/index.js'
import type { TimeLine } from '../timeline/index.js'
import type { Attempt, AttemptListener, AttemptSpec } from './Attempt.js'
import type { DispatchClient } from './DispatchClient.js'

/** Creates and cancels the attempts of one request. Implementations store the body of the request. */
export abstract class AttemptSource {
  /**
   * Creates an attempt without starting it.
   *
   * @param spec - what to send and where
   * @param listener - receives the events of the attempt
   */
  abstract create (spec: AttemptSpec, listener: AttemptListener): Attempt

  /**
   * Stops an attempt on its backend server and frees its memory there. The promise never rejects.
   *
   * @param address - the backend server's `ip:port`
   * @param attempt - id of the attempt
   */
  abstract cancel (address: string, attempt: AttemptId): Promise<void>
}

/** Dispatch client, time line and metrics, which all requests of the node share. */
export interface SessionPorts {
  readonly dispatchClient: DispatchClient
  readonly timeLine: TimeLine
  readonly metrics: Metrics
}

/** Times of a finished request. */
export interface SessionReport {
  readonly spec: RequestSpec
  readonly firstTokenAt: number | null
  readonly finishedAt: number
}
