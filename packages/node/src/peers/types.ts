/** What the peer server stands before. */
import type { AttemptId } from '@bluebellhill/domain'

import type { ConfigurationService } from '../configuration/index.js'
import type { DispatcherDesk } from '../dispatch/DispatcherDesk.js'
import type { DispatcherHost } from '../dispatch/DispatcherHost.js'
import type { TimeLine } from '../timeline/index.js'

/** The requests of this node that peers may speak of. */
export interface RecallTarget {
  /**
   * Makes an attempt give its runner up.
   *
   * @returns false where no such attempt is in progress
   */
  recall (attempt: AttemptId): boolean
}

/** The parts of the node that answer peers. */
export interface PeerHandlerContext {
  readonly dispatcher: DispatcherHost
  readonly dispatchClient: DispatcherDesk
  readonly requests: RecallTarget
  readonly configuration: ConfigurationService
  readonly timeLine: TimeLine
}
