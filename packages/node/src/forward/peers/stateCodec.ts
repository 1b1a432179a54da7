/** Turns the work of a node into datagrams and back. */
import { workId } from '@bluebellhill/domain'
import type { Millis, NodeId, RunnerId, Work } from '@bluebellhill/domain'
import { fleetWire } from '@bluebellhill/protocol'

/** What a node says of itself. */
export interface NodeState {
  readonly node: NodeId
  /** Wall-clock milliseconds at which the process started. */
  readonly startedAt: number
  readonly sequence: number
  readonly configurationVersion: number
  readonly serversRevision: number
  readonly stopping: boolean
  /** Whether the platform's store does not answer it. */
  readonly storeLost: boolean
  readonly works: readonly Work[]
  /** Addresses of the nodes that it knows; only now and then. */
  readonly peers: readonly string[]
  /** Only now and then; else empty. */
  readonly failureDomain: string
}

/** A state, or one part of it. */
export interface NodeStateFragment extends NodeState {
  readonly part: number
  readonly parts: number
}

/** Works in one datagram at most, so that it stays below the usual packet size. */
const MAX_ASSIGNMENTS_PER_DATAGRAM = 16

/**
 * @param state - what this node says
 * @param now - time
 * @returns the datagrams that say it
 */
export const encodeState = (state: NodeState, now: Millis): Uint8Array[] => {
  const fragmentCount = Math.max(1, Math.ceil(state.works.length / MAX_ASSIGNMENTS_PER_DATAGRAM))
  return Array.from({ length: fragmentCount }, (_, fragmentIndex) => {
    const assignments = state.works.slice(fragmentIndex * MAX_ASSIGNMENTS_PER_DATAGRAM, (fragmentIndex + 1) * MAX_ASSIGNMENTS_PER_DATAGRAM)
    return fleetWire.NodeState.encode({
      ...state,
      startedAt: BigInt(state.startedAt),
      serversRevision: BigInt(state.serversRevision),
      part: fragmentIndex,
      parts: fragmentCount,
      works: assignments.map((assignment) => encodeAssignment(assignment, now)),
      peers: fragmentIndex === 0 ? [...state.peers] : []
    }).finish()
  })
}

/**
 * @param datagram - what another node sent
 * @param now - time of its arrival
 * @returns a part of that node's state
 * @throws Error where it is no such message
 */
export const decodeState = (datagram: Uint8Array, now: Millis): NodeStateFragment => {
  const wire = fleetWire.NodeState.decode(datagram)
  if (wire.node === '' || wire.parts < 1 || wire.part >= wire.parts) throw new Error('not the state of a node')
  return {
    ...wire,
    node: wire.node as NodeId,
    startedAt: Number(wire.startedAt),
    serversRevision: Number(wire.serversRevision),
    works: wire.works.map((assignment) => decodeAssignment(assignment, wire.node as NodeId, now))
  }
}

const encodeAssignment = (assignment: Work, now: Millis): fleetWire.EngineWork => ({
  number: assignmentNumber(assignment),
  runner: assignment.runner,
  helpers: assignment.isRead ? [] : [...assignment.helpers],
  held: assignment.held.map(({ runner, tokens }) => ({ runner, tokens })),
  promptTokens: assignment.prompt,
  answerTokens: Math.round(assignment.answer),
  sentAgoMs: ageOf(assignment.sentAt, now),
  partMs: Math.round(assignment.part),
  isRead: assignment.isRead,
  pauseObjectiveMs: assignment.pauseObjective === null ? undefined : Math.round(assignment.pauseObjective),
  dueInMs: Math.round(assignment.dueAt - now)
})

const decodeAssignment = (wire: fleetWire.EngineWork, node: NodeId, now: Millis): Work => ({
  id: workId(node, wire.number),
  runner: wire.runner as RunnerId,
  helpers: wire.helpers as RunnerId[],
  held: wire.held.map(({ runner, tokens }) => ({ runner: runner as RunnerId, tokens })),
  prompt: wire.promptTokens,
  answer: wire.answerTokens,
  sentAt: now - wire.sentAgoMs,
  part: wire.partMs,
  isRead: wire.isRead,
  pauseObjective: wire.pauseObjectiveMs ?? null,
  dueAt: now + wire.dueInMs
})

/** The part of a work's id that its node counts. */
const assignmentNumber = ({ id }: Work): number => Number(id.slice(id.lastIndexOf('/') + 1))

const ageOf = (time: Millis, now: Millis): number => Math.max(0, Math.round(now - time))
