/** Handles the calls of peers that concern orders and attempts. */
import { status } from '@grpc/grpc-js'
import type { sendUnaryData, ServerUnaryCall } from '@grpc/grpc-js'
import { assertNever } from '@bluebellhill/domain'
import type { AttemptId, DispatchOrder, ProgressKind, RunnerId } from '@bluebellhill/domain'
import type { AcquireReply, AcquireRequest, Grant as GrantMessage, GroupMessage, GroupReply, ProgressReply, ProgressRequest, RecallReply, RecallRequest } from '@bluebellhill/protocol'

import type { OrderResult } from '../requests/OrderDesk.js'
import { decodeGroup } from './groupMessage.js'
import { decodeOrder } from './orderMessage.js'
import type { PeerServerParts } from './types.js'

const UNNAMED_PEER = 'an unnamed peer'

/** Answers `Acquire`. */
export const acquire = async (parts: PeerServerParts, call: ServerUnaryCall<AcquireRequest, AcquireReply>, done: sendUnaryData<AcquireReply>): Promise<void> => {
  const { order, clock, direct } = call.request
  if (order === undefined) return done({ code: status.INVALID_ARGUMENT, details: 'the order is missing' })
  parts.timeLine.stampReceived(clock, order.entry)
  const controller = new AbortController()
  const withdraw = (): void => controller.abort()
  call.on('cancelled', withdraw)
  const result = await place(parts, decodeOrder(order), direct, controller.signal)
  // The event also comes when an answered call is closed; from here on the grant's expiry covers a lost answer.
  call.off('cancelled', withdraw)
  if (result.type === 'lost') return done({ code: status.UNAVAILABLE, details: result.reason })
  done(null, { result: resultMessage(result), clock: parts.timeLine.stampOutgoing() })
}

const place = async (parts: PeerServerParts, order: DispatchOrder, direct: boolean, signal: AbortSignal): Promise<OrderResult> => {
  if (!direct) return await parts.desk.relay(order, signal)
  return await parts.desk.placeHere(order, signal)
}

/** Answers `Progress`. */
export const progress = (parts: PeerServerParts, call: ServerUnaryCall<ProgressRequest, ProgressReply>, done: sendUnaryData<ProgressReply>): void => {
  const message = call.request
  parts.timeLine.stampReceived(message.clock, message.order?.entry ?? UNNAMED_PEER)
  parts.dispatcher.tell({
    type: 'progressed',
    attempt: message.attempt as AttemptId,
    runner: message.runner as RunnerId,
    kind: message.kind as ProgressKind,
    generated: message.generated,
    order: message.order === undefined ? null : decodeOrder(message.order)
  })
  done(null, { recalled: false, clock: parts.timeLine.stampOutgoing() })
}

/** Answers `Group`. */
export const group = (parts: PeerServerParts, call: ServerUnaryCall<GroupMessage, GroupReply>, done: sendUnaryData<GroupReply>): void => {
  parts.timeLine.stampReceived(call.request.clock, call.request.from)
  const event = decodeGroup(call.request)
  if (event !== null) parts.dispatcher.tell(event)
  done(null, { clock: parts.timeLine.stampOutgoing() })
}

/** Answers `Recall`. */
export const recall = (parts: PeerServerParts, call: ServerUnaryCall<RecallRequest, RecallReply>, done: sendUnaryData<RecallReply>): void => {
  parts.timeLine.stampReceived(call.request.clock, UNNAMED_PEER)
  const known = parts.requests.recall(call.request.attempt as AttemptId)
  done(null, { known, clock: parts.timeLine.stampOutgoing() })
}

type SettledResult = Exclude<OrderResult, { type: 'lost' }>

const resultMessage = (result: SettledResult): AcquireReply['result'] => {
  switch (result.type) {
    case 'granted': return { $case: 'grant', value: grantMessage(result) }
    case 'refused': return { $case: 'refusal', value: { kind: result.kind, retryAfterMs: Math.ceil(result.retryAfter), reason: result.reason } }
    default: return assertNever(result)
  }
}

const grantMessage = ({ grant, address, groupAddresses }: Extract<OrderResult, { type: 'granted' }>): GrantMessage => ({
  runner: grant.runner,
  runnerAddress: address,
  validForMs: Math.floor(grant.validFor),
  priority: grant.priority,
  reason: grant.reason,
  group: [...grant.group],
  groupAddresses: [...groupAddresses],
  groupTokens: [...grant.groupTokens ?? []]
})
