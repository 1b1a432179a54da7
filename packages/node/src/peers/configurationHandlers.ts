/** Handles the calls of peers that concern the operators' configuration. */
import type { sendUnaryData, ServerUnaryCall } from '@grpc/grpc-js'
import type { NodeId } from '@bluebellhill/domain'
import type { PushReply, PushRequest, ValuesReply, ValuesRequest, VersionsReply, VersionsRequest } from '@bluebellhill/protocol'

import { decodeValue, encodeValue, encodeVersion } from './configurationMessage.js'
import type { PeerServerParts } from './types.js'

const UNNAMED_PEER = 'an unnamed peer'

/** Answers `Versions`. */
export const versions = ({ configuration, timeLine }: PeerServerParts, call: ServerUnaryCall<VersionsRequest, VersionsReply>, done: sendUnaryData<VersionsReply>): void => {
  timeLine.stampReceived(call.request.clock, UNNAMED_PEER)
  const same = call.request.digest === configuration.digest
  const known = same ? [] : configuration.revisions().map(encodeVersion)
  done(null, { same, versions: known, clock: timeLine.stampOutgoing() })
}

/** Answers `Values`. */
export const values = ({ configuration, timeLine }: PeerServerParts, call: ServerUnaryCall<ValuesRequest, ValuesReply>, done: sendUnaryData<ValuesReply>): void => {
  timeLine.stampReceived(call.request.clock, UNNAMED_PEER)
  done(null, { values: configuration.values(call.request.names).map(encodeValue), clock: timeLine.stampOutgoing() })
}

/** Answers `Push`. */
export const push = ({ configuration, timeLine }: PeerServerParts, call: ServerUnaryCall<PushRequest, PushReply>, done: sendUnaryData<PushReply>): void => {
  const { from, clock } = call.request
  timeLine.stampReceived(clock, from)
  configuration.install(from as NodeId, call.request.values.map(decodeValue))
  done(null, { clock: timeLine.stampOutgoing() })
}
