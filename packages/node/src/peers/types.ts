/** Components that the handlers of peer calls use. */
import type { AttemptId } from '@bluebellhill/domain'

import type { ConfigurationService } from '../configuration/index.js'
import type { RoutedDispatchClient } from '../dispatch/RoutedDispatchClient.js'
import type { DispatcherHost } from '../dispatch/DispatcherHost.js'
import type { TimeLine } from '../timeline/index.js'

/** Receiver of recalls for the requests that entered at this node. */
export interface RecallTarget {
  /**
   * Makes an attempt release its runner.
   *
   * @returns false if the request of the attempt is not in progress at this node
   */
  recall (attempt: AttemptId): boolean
}

/** Components of the node that the handlers of peer calls use. */
export interface PeerHandlerContext {
  readonly dispatcher: DispatcherHost
  readonly dispatchClient: RoutedDispatchClient
  readonly requests: RecallTarget
  readonly configuration: ConfigurationService
  readonly timeLine: TimeLine
}
