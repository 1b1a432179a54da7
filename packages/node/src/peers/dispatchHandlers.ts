/** Handles the calls of peers that concern dispatch orders, attempts and sequence groups. */
import { status } from '@grpc/grpc-js'
import type { sendUnaryData, ServerUnaryCall } from '@grpc/grpc-js'
import { assertNever } from '@bluebellhill/domain'
import type { AttemptId, DispatchOrder, ProgressKind, RunnerId } from '@bluebellhill/domain'
import type { AcquireReply, AcquireRequest, Grant as GrantMessage, GroupMessage, GroupReply, ProgressReply, ProgressRequest, RecallReply, RecallRequest } from '@bluebellhill/protocol'

import type { OrderResult } from '../requests/DispatchClient.js'
import { decodeGroupMessage } from './groupMessage.js'
import { decodeOrder } from './orderMessage.js'
import type { PeerHandlerContext } from './types.js'

/** Sender recorded in the time line for messages that do not name their sender. */
const UNKNOWN_SENDER = 'an unnamed peer'

/** Answers `Acquire`: places a dispatch order and replies with the grant or the refusal. */
export const acquire = async (context: PeerHandlerContext, call: ServerUnaryCall<AcquireRequest, AcquireReply>, done: sendUnaryData<AcquireReply>): Promise<void> => {
  const { order, clock, direct } = call.request
  if (order === undefined) return done({ code: status.INVALID_ARGUMENT, details: 'the order is missing' })
  context.timeLine.stampReceived(clock, order.entry)
  const controller = new AbortController()
  const withdraw = (): void => controller.abort()
  call.on('cancelled', withdraw)
  const result = await place(context, decodeOrder(order), direct, controller.signal)
  // gRPC also emits 'cancelled' when an answered call is closed. From here on, a grant whose reply is lost expires.
  call.off('cancelled', withdraw)
  if (result.type === 'lost') return done({ code: status.UNAVAILABLE, details: result.reason })
  done(null, { result: resultMessage(result), clock: context.timeLine.stampOutgoing() })
}

/** Places an order with this node's dispatcher if the sender chose this node, otherwise with any dispatcher of this failure domain. */
const place = async (context: PeerHandlerContext, order: DispatchOrder, direct: boolean, signal: AbortSignal): Promise<OrderResult> => {
  if (!direct) return await context.dispatchClient.acquireInOwnDomain(order, signal)
  return await context.dispatchClient.acquireLocally(order, signal)
}

/** Handles `Progress`: passes the report on an attempt to this node's dispatcher. */
export const progress = (context: PeerHandlerContext, call: ServerUnaryCall<ProgressRequest, ProgressReply>, done: sendUnaryData<ProgressReply>): void => {
  const message = call.request
  context.timeLine.stampReceived(message.clock, message.order?.entry ?? UNKNOWN_SENDER)
  context.dispatcher.post({
    type: 'progressed',
    attempt: message.attempt as AttemptId,
    runner: message.runner as RunnerId,
    kind: message.kind as ProgressKind,
    generated: message.generated,
    order: message.order === undefined ? null : decodeOrder(message.order)
  })
  done(null, { recalled: false, clock: context.timeLine.stampOutgoing() })
}

/** Handles `Group`: passes a reservation message of a sequence group to this node's dispatcher. */
export const group = (context: PeerHandlerContext, call: ServerUnaryCall<GroupMessage, GroupReply>, done: sendUnaryData<GroupReply>): void => {
  context.timeLine.stampReceived(call.request.clock, call.request.from)
  const event = decodeGroupMessage(call.request)
  if (event !== null) context.dispatcher.post(event)
  done(null, { clock: context.timeLine.stampOutgoing() })
}

/** Handles `Recall`: makes an attempt of this entry node release its runner. */
export const recall = (context: PeerHandlerContext, call: ServerUnaryCall<RecallRequest, RecallReply>, done: sendUnaryData<RecallReply>): void => {
  context.timeLine.stampReceived(call.request.clock, UNKNOWN_SENDER)
  const isInProgress = context.requests.recall(call.request.attempt as AttemptId)
  done(null, { known: isInProgress, clock: context.timeLine.stampOutgoing() })
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
