/** Turns the work of a node into datagrams and back. */
import { assignmentId } from '@bluebellhill/domain'
import type { Millis, NodeId, RunnerId, Assignment } from '@bluebellhill/domain'
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
  readonly works: readonly Assignment[]
  /** Addresses of the nodes that it knows; only now and then. */
  readonly peers: readonly string[]
  /** Only now and then; else empty. */
  readonly failureDomain: string
}

/** A state, or one part of it. */
export interface StatePart extends NodeState {
  readonly part: number
  readonly parts: number
}

/** Works in one datagram at most, so that it stays below the usual packet size. */
const WORKS_PER_DATAGRAM = 16

/**
 * @param state - what this node says
 * @param now - time
 * @returns the datagrams that say it
 */
export const encodeState = (state: NodeState, now: Millis): Uint8Array[] => {
  const parts = Math.max(1, Math.ceil(state.works.length / WORKS_PER_DATAGRAM))
  return Array.from({ length: parts }, (_, part) => {
    const works = state.works.slice(part * WORKS_PER_DATAGRAM, (part + 1) * WORKS_PER_DATAGRAM)
    return fleetWire.NodeState.encode({
      ...state,
      startedAt: BigInt(state.startedAt),
      serversRevision: BigInt(state.serversRevision),
      part,
      parts,
      works: works.map((work) => encodeWork(work, now)),
      peers: part === 0 ? [...state.peers] : []
    }).finish()
  })
}

/**
 * @param datagram - what another node sent
 * @param now - time of its arrival
 * @returns a part of that node's state
 * @throws Error where it is no such message
 */
export const decodeState = (datagram: Uint8Array, now: Millis): StatePart => {
  const wire = fleetWire.NodeState.decode(datagram)
  if (wire.node === '' || wire.parts < 1 || wire.part >= wire.parts) throw new Error('not the state of a node')
  return {
    ...wire,
    node: wire.node as NodeId,
    startedAt: Number(wire.startedAt),
    serversRevision: Number(wire.serversRevision),
    works: wire.works.map((work) => decodeWork(work, wire.node as NodeId, now))
  }
}

const encodeWork = (work: Assignment, now: Millis): fleetWire.EngineWork => ({
  number: numberOf(work),
  runner: work.server,
  helpers: work.isPrefilled ? [] : [...work.helpers],
  held: work.reservations.map(({ runner, tokens }) => ({ runner, tokens })),
  promptTokens: work.prompt,
  answerTokens: Math.round(work.answer),
  sentAgoMs: ageOf(work.sentAt, now),
  partMs: Math.round(work.prefillTime),
  isRead: work.isPrefilled,
  pauseObjectiveMs: work.pauseObjective === null ? undefined : Math.round(work.pauseObjective),
  dueInMs: Math.round(work.dueAt - now)
})

const decodeWork = (wire: fleetWire.EngineWork, node: NodeId, now: Millis): Assignment => ({
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
  dueAt: now + wire.dueInMs
})

/** The part of a work's id that its node counts. */
const numberOf = ({ id }: Assignment): number => Number(id.slice(id.lastIndexOf('/') + 1))

const ageOf = (time: Millis, now: Millis): number => Math.max(0, Math.round(now - time))
