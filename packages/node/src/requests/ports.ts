/** What a request needs of the rest of the node. */
import type { AttemptId, RequestSpec } from '@bluebellhill/domain'

import type { Metrics } from '../metrics/index.js'
import type { TimeLine } from '../timeline/index.js'
import type { Attempt, AttemptListener, AttemptOrder } from './Attempt.js'
import type { OrderDesk } from './OrderDesk.js'

/** Starts tries of one request; it knows the request's body. */
export abstract class AttemptSource {
  /**
   * Prepares a try.
   *
   * @param order - where to send what
   * @param listener - told of everything that happens
   */
  abstract create (order: AttemptOrder, listener: AttemptListener): Attempt

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
  readonly desk: OrderDesk
  readonly timeLine: TimeLine
  readonly metrics: Metrics
}

/** How a finished request went. */
export interface SessionReport {
  readonly spec: RequestSpec
  readonly firstTokenAt: number | null
  readonly finishedAt: number
}
