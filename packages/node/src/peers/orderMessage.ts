/** Converts dispatch orders between their domain type and the peer messages. */
import type { AttemptId, DispatchOrder, NodeId, OrganisationId, RequestId, RunnerId } from '@bluebellhill/domain'
import type { Order } from '@bluebellhill/protocol'

/** Hexadecimal digits of a 64-bit prefix hash. */
const HASH_DIGITS = 16

/** Encodes a dispatch order: an entry node's request to a dispatcher for a runner for one attempt. */
export const encodeOrder = (order: DispatchOrder): Order => ({
  attempt: order.attempt,
  request: order.request,
  entry: order.entry,
  organisation: order.organisation,
  model: order.model,
  version: order.version ?? undefined,
  adapter: order.adapter ?? undefined,
  urgency: order.urgency,
  promptTokens: order.promptTokens,
  maxTokens: order.maxTokens,
  prefix: order.prefix.map((hash) => BigInt(`0x${hash}`)),
  remainingMs: Math.max(0, Math.floor(order.remaining)),
  excluded: [...order.excluded]
})

/** Decodes a dispatch order. */
export const decodeOrder = (message: Order): DispatchOrder => ({
  attempt: message.attempt as AttemptId,
  request: message.request as RequestId,
  entry: message.entry as NodeId,
  organisation: message.organisation as OrganisationId,
  model: message.model,
  version: message.version ?? null,
  adapter: message.adapter ?? null,
  urgency: message.urgency,
  promptTokens: message.promptTokens,
  maxTokens: message.maxTokens,
  prefix: message.prefix.map((hash) => hash.toString(16).padStart(HASH_DIGITS, '0')),
  remaining: message.remainingMs,
  excluded: message.excluded as RunnerId[]
})
