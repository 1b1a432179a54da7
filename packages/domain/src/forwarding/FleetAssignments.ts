/** The account of all work on the engines: this node's own, and what each peer last said of its own. */
import type { Millis, NodeId, RunnerId, Tokens } from '../types.js'
import { PrefillQueue } from './PrefillQueue.js'
import type { PendingPrefill } from './PrefillQueue.js'

/** Memory of one engine that a request of another one has reserved. */
export interface KvCacheReservation {
  readonly runner: RunnerId
  readonly tokens: Tokens
}

/** One request on an engine, from the moment at which it is sent there. */
export interface Assignment {
  /** Unique over all nodes. */
  readonly id: string
  readonly server: RunnerId
  /** Engines that read parts of the prompt for `runner`. */
  readonly helpers: readonly RunnerId[]
  /** Reserved memory of other engines that holds parts of the prompt. */
  readonly reservations: readonly KvCacheReservation[]
  readonly prompt: Tokens
  /** Expected length of the answer. */
  readonly answer: Tokens
  /** Time for which each engine reads, if it is sound. */
  readonly prefillTime: Millis
  readonly sentAt: Millis
  /** Whether its first event has come: the prompt is read. */
  readonly isPrefilled: boolean
  /** Longest pause between events that keeps the answer on time; null where there is none. */
  readonly pauseObjective: Millis | null
  /** When its first event is due. */
  readonly dueAt: Millis
}

/** What happens to a request on an engine. */
export const AssignmentChange = {
  Started: 'begun',
  /** Begun on a plain service: short, and placed well enough by an account that is a little older. */
  StartedPlain: 'begun_plain',
  /** The prompt is read. */
  Prefilled: 'read',
  Ended: 'ended'
} as const
export type AssignmentChange = typeof AssignmentChange[keyof typeof AssignmentChange]

/** What one engine has to do. */
export interface ServerLoad {
  /** What it reads, in the order in which it does. */
  readonly pending: readonly PendingPrefill[]
  /** Requests that it reads for itself or writes for. */
  readonly requests: readonly Assignment[]
  /** Memory that requests of other engines have reserved there. */
  readonly reservedTokens: Tokens
}

/**
 * @param node - the node that sent a request
 * @param sequence - how many requests it had sent
 * @returns an id that is unique over all nodes
 */
export const assignmentId = (node: NodeId, sequence: number): string => `${node}/${sequence}`

const NO_LOAD: ServerLoad = { pending: [], requests: [], reservedTokens: 0 }

interface PeerAssignments {
  readonly assignments: ReadonlyMap<string, Assignment>
  readonly receivedAt: Millis
}

/** Age at which what a peer said of its work no longer counts: it has stopped or cannot be reached. */
export const PEER_ASSIGNMENTS_EXPIRY: Millis = 1_500

/** Period in which arrivals are counted. */
const ARRIVALS_PERIOD: Millis = 1_000

/** All work on the engines, as far as this node knows. */
export class FleetAssignments {
  readonly #node: NodeId
  readonly #own = new Map<string, Assignment>()
  readonly #peers = new Map<NodeId, PeerAssignments>()
  readonly #prefillQueues = new Map<RunnerId, PrefillQueue>()
  #nextSequence = 1

  /** @param node - this node */
  constructor (node: NodeId) {
    this.#node = node
  }

  /** @returns this node's own work */
  own (): readonly Assignment[] {
    return [...this.#own.values()]
  }

  /**
   * Enters work of this node.
   *
   * @param draft - what is sent, without its id
   * @returns the work with its id
   */
  start (draft: Omit<Assignment, 'id'>): Assignment {
    const assignment = { ...draft, id: assignmentId(this.#node, this.#nextSequence++) }
    this.#own.set(assignment.id, assignment)
    this.#enqueuePrefill(assignment, draft.sentAt)
    return assignment
  }

  /**
   * Notes that the prompt of this node's work is read.
   *
   * @param assignment - the work
   * @param now - time
   */
  markPrefilled (assignment: Assignment, now: Millis): void {
    if (!this.#own.has(assignment.id)) return
    this.#dequeuePrefill(assignment, now)
    this.#own.set(assignment.id, { ...assignment, isPrefilled: true })
  }

  /**
   * Removes work of this node.
   *
   * @param assignment - the work
   * @param now - time
   */
  end (assignment: Assignment, now: Millis): void {
    this.#dequeuePrefill(assignment, now)
    this.#own.delete(assignment.id)
  }

  /**
   * Replaces what is known of a peer's work.
   *
   * @param node - the peer
   * @param assignments - all its work
   * @param now - time
   */
  setPeerAssignments (node: NodeId, assignments: readonly Assignment[], now: Millis): void {
    const previous = this.#peers.get(node)?.assignments ?? new Map<string, Assignment>()
    const current = new Map(assignments.map((work) => [work.id, work]))
    for (const assignment of previous.values()) {
      const successor = current.get(assignment.id)
      if (!assignment.isPrefilled && (successor === undefined || successor.isPrefilled)) this.#dequeuePrefill(assignment, now)
    }
    for (const work of current.values()) {
      if (!previous.has(work.id) && !work.isPrefilled) this.#enqueuePrefill(work, work.sentAt)
    }
    this.#peers.set(node, { assignments: current, receivedAt: now })
  }

  /**
   * Forgets a peer.
   *
   * @param node - the peer
   * @param now - time
   */
  removePeer (node: NodeId, now: Millis): void {
    this.setPeerAssignments(node, [], now)
    this.#peers.delete(node)
  }

  /**
   * Adds up the work of all nodes by engine.
   *
   * @param now - time
   * @returns work by engine
   */
  serverLoads (now: Millis): ServerLoads {
    for (const [node, { receivedAt }] of this.#peers) if (now - receivedAt > PEER_ASSIGNMENTS_EXPIRY) this.removePeer(node, now)
    const requests = new Map<RunnerId, Assignment[]>()
    const reservedTokens = new Map<RunnerId, Tokens>()
    for (const assignment of this.#all()) {
      for (const { runner: server, tokens } of assignment.reservations) reservedTokens.set(server, (reservedTokens.get(server) ?? 0) + tokens)
      const existing = requests.get(assignment.server)
      if (existing === undefined) requests.set(assignment.server, [assignment])
      else existing.push(assignment)
    }
    return new ServerLoads(requests, this.#pendingPrefills(now), reservedTokens)
  }

  /**
   * @param now - time
   * @returns requests that all nodes sent in the last second and that have not ended
   */
  recentArrivals (now: Millis): number {
    let arrivals = 0
    for (const { sentAt } of this.#all()) if (now - sentAt < ARRIVALS_PERIOD) arrivals += 1
    return arrivals
  }

  * #all (): Generator<Assignment> {
    yield * this.#own.values()
    for (const { assignments } of this.#peers.values()) yield * assignments.values()
  }

  #pendingPrefills (now: Millis): Map<RunnerId, PendingPrefill[]> {
    const pending = new Map<RunnerId, PendingPrefill[]>()
    for (const [server, queue] of this.#prefillQueues) {
      queue.advance(now)
      if (queue.isEmpty) this.#prefillQueues.delete(server)
      else pending.set(server, queue.pending())
    }
    return pending
  }

  #enqueuePrefill (assignment: Assignment, now: Millis): void {
    for (const server of [assignment.server, ...assignment.helpers]) this.#queueOf(server, now).add(assignment, now)
  }

  #dequeuePrefill (assignment: Assignment, now: Millis): void {
    for (const server of [assignment.server, ...assignment.helpers]) this.#prefillQueues.get(server)?.remove(assignment, now)
  }

  #queueOf (server: RunnerId, now: Millis): PrefillQueue {
    const existing = this.#prefillQueues.get(server)
    if (existing !== undefined) return existing
    const queue = new PrefillQueue(now)
    this.#prefillQueues.set(server, queue)
    return queue
  }
}

/** Work by engine at one moment. */
export class ServerLoads {
  /**
   * @param requests - requests by the engine that writes for them
   * @param pending - readings by engine
   * @param reservedTokens - memory that requests of other engines have reserved, by engine
   */
  constructor (
    private readonly requests: ReadonlyMap<RunnerId, readonly Assignment[]>,
    private readonly pending: ReadonlyMap<RunnerId, readonly PendingPrefill[]>,
    private readonly reservedTokens: ReadonlyMap<RunnerId, Tokens>
  ) {}

  /**
   * @param server - the engine
   * @returns its work
   */
  get (server: RunnerId): ServerLoad {
    const requests = this.requests.get(server)
    const pending = this.pending.get(server)
    const reservedTokens = this.reservedTokens.get(server)
    if (requests === undefined && pending === undefined && reservedTokens === undefined) return NO_LOAD
    return { requests: requests ?? [], pending: pending ?? [], reservedTokens: reservedTokens ?? 0 }
  }
}
