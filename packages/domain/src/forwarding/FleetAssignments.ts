/** Tracks which requests are placed on which backend servers, from this node's assignments and those that peers report. */
import type { Millis, NodeId, RunnerId, Tokens } from '../types.js'
import { PrefillQueue } from './PrefillQueue.js'
import type { PendingPrefill } from './PrefillQueue.js'

/** KV cache memory that an engine keeps for another engine's request. */
export interface KvCacheReservation {
  readonly runner: RunnerId
  readonly tokens: Tokens
}

/** A request placed on a backend server, from the time it is sent until it ends. */
export interface Assignment {
  /** Unique over all nodes. */
  readonly id: string
  readonly server: RunnerId
  /** Engines that prefill segments of the prompt for `server`. */
  readonly helpers: readonly RunnerId[]
  /** KV cache memory reserved on other engines, which keep part of the prompt there. */
  readonly reservations: readonly KvCacheReservation[]
  readonly prompt: Tokens
  /** Expected length of the answer. */
  readonly answer: Tokens
  /** Prefill time on each participating engine at its published speed. */
  readonly prefillTime: Millis
  readonly sentAt: Millis
  /** Whether its first event has arrived, which means that the prompt is prefilled. */
  readonly isPrefilled: boolean
  /** Longest pause between events that keeps the answer on time; null if the route sets none. */
  readonly pauseObjective: Millis | null
  /** When its first event is due. */
  readonly dueAt: Millis
}

/** Change of an assignment; it is announced to the peers. */
export const AssignmentChange = {
  Started: 'begun',
  /** Started on a plain service. Such requests are short, and slightly outdated assignments are good enough to place them. */
  StartedPlain: 'begun_plain',
  /** The prompt is prefilled. */
  Prefilled: 'read',
  Ended: 'ended'
} as const
export type AssignmentChange = typeof AssignmentChange[keyof typeof AssignmentChange]

/** Current load of one backend server. */
export interface ServerLoad {
  /** Prefills that are not done, in the order in which the engine processes them. */
  readonly pending: readonly PendingPrefill[]
  /** Its own requests, in prefill or in decode. */
  readonly requests: readonly Assignment[]
  /** KV cache memory reserved there for requests of other engines. */
  readonly reservedTokens: Tokens
}

/**
 * @param node - the node that sent the request
 * @param sequence - sequence number of the request on that node
 * @returns an assignment id that is unique over all nodes
 */
export const assignmentId = (node: NodeId, sequence: number): string => `${node}/${sequence}`

const NO_LOAD: ServerLoad = { pending: [], requests: [], reservedTokens: 0 }

interface PeerAssignments {
  readonly assignments: ReadonlyMap<string, Assignment>
  readonly receivedAt: Millis
}

/** Age at which a peer's last report is discarded, because the peer has stopped or cannot be reached. */
export const PEER_ASSIGNMENTS_EXPIRY: Millis = 1_500

/** Length of the window over which recent arrivals are counted. */
const ARRIVALS_PERIOD: Millis = 1_000

/** Assignments of the whole fleet, as far as they have been reported to this node. */
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

  /** @returns the assignments made by this node */
  own (): readonly Assignment[] {
    return [...this.#own.values()]
  }

  /**
   * Records a new assignment of this node.
   *
   * @param draft - the assignment without its id
   * @returns the assignment with its id
   */
  start (draft: Omit<Assignment, 'id'>): Assignment {
    const assignment = { ...draft, id: assignmentId(this.#node, this.#nextSequence++) }
    this.#own.set(assignment.id, assignment)
    this.#enqueuePrefill(assignment, draft.sentAt)
    return assignment
  }

  /**
   * Records that the prompt of an assignment of this node is prefilled.
   *
   * @param assignment - the assignment
   * @param now - current time
   */
  markPrefilled (assignment: Assignment, now: Millis): void {
    if (!this.#own.has(assignment.id)) return
    this.#dequeuePrefill(assignment, now)
    this.#own.set(assignment.id, { ...assignment, isPrefilled: true })
  }

  /**
   * Removes an assignment of this node.
   *
   * @param assignment - the assignment
   * @param now - current time
   */
  end (assignment: Assignment, now: Millis): void {
    this.#dequeuePrefill(assignment, now)
    this.#own.delete(assignment.id)
  }

  /**
   * Replaces the assignments of a peer with those of its latest report.
   *
   * @param node - the peer
   * @param assignments - all assignments made by the peer
   * @param now - current time
   */
  setPeerAssignments (node: NodeId, assignments: readonly Assignment[], now: Millis): void {
    const previous = this.#peers.get(node)?.assignments ?? new Map<string, Assignment>()
    const current = new Map(assignments.map((assignment) => [assignment.id, assignment]))
    for (const assignment of previous.values()) {
      const successor = current.get(assignment.id)
      if (!assignment.isPrefilled && (successor === undefined || successor.isPrefilled)) this.#dequeuePrefill(assignment, now)
    }
    for (const assignment of current.values()) {
      if (!previous.has(assignment.id) && !assignment.isPrefilled) this.#enqueuePrefill(assignment, assignment.sentAt)
    }
    this.#peers.set(node, { assignments: current, receivedAt: now })
  }

  /**
   * Removes a peer and its assignments.
   *
   * @param node - the peer
   * @param now - current time
   */
  removePeer (node: NodeId, now: Millis): void {
    this.setPeerAssignments(node, [], now)
    this.#peers.delete(node)
  }

  /**
   * Sums up the assignments of all nodes by backend server; expired reports of peers are removed first.
   *
   * @param now - current time
   * @returns load by backend server
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
   * @param now - current time
   * @returns number of requests that all nodes sent in the last second and that have not ended
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

/** Load by backend server at one moment. */
export class ServerLoads {
  /**
   * @param requests - requests by the engine that decodes them
   * @param pending - pending prefills by engine
   * @param reservedTokens - KV cache memory reserved for requests of other engines, by engine
   */
  constructor (
    private readonly requests: ReadonlyMap<RunnerId, readonly Assignment[]>,
    private readonly pending: ReadonlyMap<RunnerId, readonly PendingPrefill[]>,
    private readonly reservedTokens: ReadonlyMap<RunnerId, Tokens>
  ) {}

  /**
   * @param server - the backend server
   * @returns its load
   */
  get (server: RunnerId): ServerLoad {
    const requests = this.requests.get(server)
    const pending = this.pending.get(server)
    const reservedTokens = this.reservedTokens.get(server)
    if (requests === undefined && pending === undefined && reservedTokens === undefined) return NO_LOAD
    return { requests: requests ?? [], pending: pending ?? [], reservedTokens: reservedTokens ?? 0 }
  }
}
