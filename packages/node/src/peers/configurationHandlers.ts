/** Handles the calls of peers that exchange the operators' configuration. */
import type { sendUnaryData, ServerUnaryCall } from '@grpc/grpc-js'
import type { NodeId } from '@bluebellhill/domain'
import type { PushReply, PushRequest, ValuesReply, ValuesRequest, VersionsReply, VersionsRequest } from '@bluebellhill/protocol'

import { decodeValue, encodeValue, encodeVersion } from './configurationMessage.js'
import type { PeerHandlerContext } from './types.js'

/** Sender recorded in the time line for messages that do not name their sender. */
const UNKNOWN_SENDER = 'an unnamed peer'

/** Answers `Versions` with the versions of all configuration values, or with none if both nodes have the same digest. */
export const versions = ({ configuration, timeLine }: PeerHandlerContext, call: ServerUnaryCall<VersionsRequest, VersionsReply>, done: sendUnaryData<VersionsReply>): void => {
  timeLine.stampReceived(call.request.clock, UNKNOWN_SENDER)
  const same = call.request.digest === configuration.digest
  const versionMessages = same ? [] : configuration.versions().map(encodeVersion)
  done(null, { same, versions: versionMessages, clock: timeLine.stampOutgoing() })
}

/** Answers `Values` with the requested configuration values. */
export const values = ({ configuration, timeLine }: PeerHandlerContext, call: ServerUnaryCall<ValuesRequest, ValuesReply>, done: sendUnaryData<ValuesReply>): void => {
  timeLine.stampReceived(call.request.clock, UNKNOWN_SENDER)
  done(null, { values: configuration.values(call.request.names).map(encodeValue), clock: timeLine.stampOutgoing() })
}

/** Handles `Push`: installs the configuration values that are newer than those of this node. */
export const push = ({ configuration, timeLine }: PeerHandlerContext, call: ServerUnaryCall<PushRequest, PushReply>, done: sendUnaryData<PushReply>): void => {
  const { from, clock } = call.request
  timeLine.stampReceived(clock, from)
  configuration.install(from as NodeId, call.request.values.map(decodeValue))
  done(null, { clock: timeLine.stampOutgoing() })
}
