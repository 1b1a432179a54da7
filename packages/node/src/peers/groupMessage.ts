/** Converts the messages with which dispatchers reserve the members of a sequence group. */
import { assertNever } from '@bluebellhill/domain'
import type { AttemptId, GroupEffect, GroupEvent, NodeId, RunnerId } from '@bluebellhill/domain'
import type { GroupMessage, ReservationAnswered, ReservationReleased, ReservationRequested } from '@bluebellhill/protocol'

/**
 * Encodes an effect as a message to the dispatcher that the effect names.
 *
 * @param effect - reservation request, answer or release
 * @param from - this node
 * @param clock - stamp of the hybrid logical clock
 */
export const encodeGroupMessage = (effect: GroupEffect, from: NodeId, clock: bigint): GroupMessage => ({ from, body: bodyOf(effect), clock })

/**
 * Decodes a message into an event of the dispatcher.
 *
 * @param message - the peer message
 * @returns the event, or null if the message has no body
 */
export const decodeGroupMessage = (message: GroupMessage): GroupEvent | null => {
  const from = message.from as NodeId
  switch (message.body?.$case) {
    case 'requested': return requestedEvent(from, message.body.value)
    case 'answered': return answeredEvent(from, message.body.value)
    case 'released': return releasedEvent(message.body.value)
    case undefined: return null
  }
}

const bodyOf = (effect: GroupEffect): GroupMessage['body'] => {
  switch (effect.type) {
    case 'request_reservation': {
      const { request } = effect
      return {
        $case: 'requested',
        value: {
          attempt: request.attempt,
          round: request.round,
          model: request.model,
          version: request.version ?? undefined,
          adapter: request.adapter ?? undefined,
          tokens: Math.ceil(request.tokens),
          ageMs: Math.floor(request.age),
          excluded: [...request.excluded]
        }
      }
    }
    case 'answer_reservation':
      return { $case: 'answered', value: { attempt: effect.attempt, round: effect.round, members: effect.members.map(({ runner, tokens }) => ({ runner, tokens: Math.ceil(tokens) })) } }
    case 'release_reservation':
      return { $case: 'released', value: { attempt: effect.attempt, round: effect.round } }
    default:
      return assertNever(effect)
  }
}

const requestedEvent = (from: NodeId, value: ReservationRequested): GroupEvent => ({
  type: 'reservation_requested',
  from,
  request: {
    attempt: value.attempt as AttemptId,
    round: value.round,
    model: value.model,
    version: value.version ?? null,
    adapter: value.adapter ?? null,
    tokens: value.tokens,
    age: value.ageMs,
    excluded: value.excluded as RunnerId[]
  }
})

const answeredEvent = (from: NodeId, value: ReservationAnswered): GroupEvent => ({
  type: 'reservation_answered',
  from,
  attempt: value.attempt as AttemptId,
  round: value.round,
  members: value.members.map(({ runner, tokens }) => ({ runner: runner as RunnerId, tokens }))
})

const releasedEvent = (value: ReservationReleased): GroupEvent =>
  ({ type: 'reservation_released', attempt: value.attempt as AttemptId, round: value.round })
