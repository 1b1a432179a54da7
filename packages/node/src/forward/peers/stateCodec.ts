/** Encodes the state and the assignments of a node into UDP datagrams, and decodes them. */
import { assignmentId, assignmentNumber } from '@bluebellhill/domain'
import type { Millis, NodeId, RunnerId, Assignment } from '@bluebellhill/domain'
import { fleetWire } from '@bluebellhill/protocol'

import { isEmptyWire } from './quarantineCodec.js'
import { decodeRevision, encodeRevision } from './revisionCodec.js'
import { decodeConfigurationVersion, encodeConfigurationVersion, toAge, toSint32, toUint32, toUint64 } from './wireNumbers.js'

/** State that a node sends to the other nodes. */
export interface NodeState {
  readonly node: NodeId
  /** Wall-clock milliseconds at which the process started. */
  readonly startedAt: number
  readonly sequence: number
  readonly configurationVersion: number
  readonly serversRevision: number
  readonly stopping: boolean
  /** Whether the platform's store does not answer the node. */
  readonly storeLost: boolean
  readonly works: readonly Assignment[]
  /** Addresses of the node's active peers; empty unless the state is an introduction. */
  readonly peers: readonly string[]
  /** Empty unless the state is an introduction. */
  readonly failureDomain: string
  /** Version of the datagrams that the node understands; 0 for earlier builds. */
  readonly version: number
  /** Processor time of the node's VM in cores; 0 unless the state is an introduction. */
  readonly processor: number
  /** Statements of backend servers that the node has received itself. */
  readonly notices: readonly fleetWire.ServerNotice[]
  /** Evidence on what crashes backend servers; undefined from nodes of earlier builds. */
  readonly quarantine: fleetWire.QuarantineFacts | undefined
  /** Evacuated failure domains; absent if other nodes need not know of them. */
  readonly evacuations?: fleetWire.Evacuations | undefined
}

/** Fragment of a state; a small state has only one. */
export interface NodeStateFragment extends NodeState {
  readonly part: number
  readonly parts: number
}

const MILLI = 1_000

/** Assignments in one datagram: few enough that it stays below the usual packet size. */
const MAX_ASSIGNMENTS_PER_DATAGRAM = 16

/** Assignments beside which the evidence on crashes fits into the same datagram. */
const MAX_ASSIGNMENTS_BESIDE_FACTS = 4

/**
 * @param state - state of this node
 * @param now - current time
 * @returns the datagrams, one for each fragment
 */
export const encodeState = (state: NodeState, now: Millis): Uint8Array[] => {
  const fragmentCount = countFragments(state)
  return Array.from({ length: fragmentCount }, (_, fragmentIndex) => {
    const assignments = state.works.slice(fragmentIndex * MAX_ASSIGNMENTS_PER_DATAGRAM, (fragmentIndex + 1) * MAX_ASSIGNMENTS_PER_DATAGRAM)
    return fleetWire.NodeState.encode({
      ...state,
      startedAt: toUint64(state.startedAt),
      configurationVersion: encodeConfigurationVersion(state.configurationVersion),
      ...encodeRevision(state.serversRevision),
      processorMilli: toUint32(state.processor * MILLI),
      part: fragmentIndex,
      parts: fragmentCount,
      works: assignments.map((assignment) => encodeAssignment(assignment, now)),
      peers: fragmentIndex === 0 ? [...state.peers] : [],
      notices: fragmentIndex === 0 ? [...state.notices] : [],
      quarantine: fragmentIndex === fragmentCount - 1 ? state.quarantine : undefined,
      evacuations: fragmentIndex === 0 ? state.evacuations : undefined
    }).finish()
  })
}

/** The evidence goes into the last fragment, which is one of its own if assignments or statements leave no room. */
const countFragments = ({ works, notices, quarantine }: NodeState): number => {
  const count = Math.max(1, Math.ceil(works.length / MAX_ASSIGNMENTS_PER_DATAGRAM))
  if (quarantine === undefined || isEmptyWire(quarantine)) return count
  const inLast = works.length - (count - 1) * MAX_ASSIGNMENTS_PER_DATAGRAM
  const hasRoom = inLast <= MAX_ASSIGNMENTS_BESIDE_FACTS && (count > 1 || notices.length === 0)
  return hasRoom ? count : count + 1
}

/**
 * @param datagram - datagram from another node
 * @param now - time of its arrival
 * @param ownEra - era of the store as this node knows it
 * @returns a fragment of that node's state
 * @throws Error if the datagram is not a node state
 */
export const decodeState = (datagram: Uint8Array, now: Millis, ownEra = 0): NodeStateFragment => {
  const wire = fleetWire.NodeState.decode(datagram)
  if (wire.node === '' || wire.parts < 1 || wire.part >= wire.parts) throw new Error('the datagram is not a node state')
  return {
    ...wire,
    node: wire.node as NodeId,
    startedAt: Number(wire.startedAt),
    configurationVersion: decodeConfigurationVersion(wire.configurationVersion),
    serversRevision: decodeRevision(wire, ownEra),
    processor: wire.processorMilli / MILLI,
    works: wire.works.map((assignment) => decodeAssignment(assignment, wire.node as NodeId, now))
  }
}

const encodeAssignment = (assignment: Assignment, now: Millis): fleetWire.EngineWork => ({
  number: assignmentNumber(assignment),
  runner: assignment.server,
  helpers: assignment.isPrefilled ? [] : [...assignment.helpers],
  held: assignment.reservations.map(({ runner, tokens }) => ({ runner, tokens: toUint32(tokens) })),
  promptTokens: toUint32(assignment.prompt),
  answerTokens: toUint32(assignment.answer),
  sentAgoMs: toAge(assignment.sentAt, now),
  partMs: toUint32(assignment.prefillTime),
  isRead: assignment.isPrefilled,
  pauseObjectiveMs: assignment.pauseObjective === null ? undefined : toUint32(assignment.pauseObjective),
  dueInMs: toSint32(assignment.dueAt - now),
  isDeferred: assignment.isDeferred
})

const decodeAssignment = (wire: fleetWire.EngineWork, node: NodeId, now: Millis): Assignment => ({
  id: assignmentId(node, wire.number),
  server: wire.runner as RunnerId,
  helpers: wire.helpers as RunnerId[],
  reservations: wire.held.map(({ runner, tokens }) => ({ runner: runner as RunnerId, tokens })),
  prompt: wire.promptTokens,
  answer: wire.answerTokens,
  sentAt: now - wire.sentAgoMs,
  prefillTime: wire.partMs,
  isPrefilled: wire.isRead,
  pauseObjective: wire.pauseObjectiveMs ?? null,
  dueAt: now + wire.dueInMs,
  isDeferred: wire.isDeferred
})
