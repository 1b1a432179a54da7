/** Tracks which requests are placed on which backend servers, from this node's assignments and those that peers report. */
import type { Millis, NodeId, RunnerId, Tokens } from '../types.js'
import { assignmentId } from './assignment.js'
import type { Assignment } from './assignment.js'
import { PrefillQueue } from './PrefillQueue.js'
import type { PendingPrefill } from './PrefillQueue.js'

/** Current load of one backend server. */
export interface ServerLoad {
  /** Prefills that are not done, in the order in which the engine processes them. */
  readonly pending: readonly PendingPrefill[]
  /** Its own requests, in prefill or in decode. */
  readonly requests: readonly Assignment[]
  /** KV cache memory reserved there for requests of other engines, or kept free. */
  readonly reservedTokens: Tokens
  /** Slots that are kept free. */
  readonly withheldSlots: number
}

/** What is kept free on an engine for requests that are expected to return. */
export interface WithheldRoom {
  readonly tokens: Tokens
  readonly slots: number
}

const NO_LOAD: ServerLoad = { pending: [], requests: [], reservedTokens: 0, withheldSlots: 0 }

interface PeerAssignments {
  readonly assignments: Map<string, Assignment>
  /** Assignments that this node has granted to the peer, with the time; a report that was sent before may not contain them. */
  readonly grantedAt: Map<string, Millis>
  /** Time of the last report, or of the first grant, on the clock for the silence of peers. */
  heardAt: Millis
}

/** Age at which a peer's last report is discarded, because the peer has stopped or cannot be reached. */
export const PEER_ASSIGNMENTS_EXPIRY: Millis = 1_500

/** Time after a grant in which the reports of the peer may not contain it yet. */
const GRANT_DELIVERY_TIME: Millis = 250

/** Length of the window over which recent arrivals are counted. */
const ARRIVALS_PERIOD: Millis = 1_000

/** Assignments of the whole fleet, as far as they have been reported to this node. */
export class FleetAssignments {
  readonly #node: NodeId
  readonly #own = new Map<string, Assignment>()
  readonly #peers = new Map<NodeId, PeerAssignments>()
  readonly #prefillQueues = new Map<RunnerId, PrefillQueue>()
  #nextSequence: number
  #onRoomFreed: () => void = () => {}

  /**
   * @param node - this node
   * @param firstNumber - number of its first assignment; another one in each process, since engines and schedulers may still know those of the last
   */
  constructor (node: NodeId, firstNumber = 1) {
    this.#node = node
    this.#nextSequence = firstNumber
  }

  /** Calls a listener after each change that may have freed memory or a slot of a backend server. */
  onRoomFreed (listener: () => void): void {
    this.#onRoomFreed = listener
  }

  /** @returns the assignments made by this node */
  own (): readonly Assignment[] {
    return [...this.#own.values()]
  }

  /**
   * @param number - number of an assignment of this node
   * @returns the assignment; null if it has ended
   */
  findOwn (number: number): Assignment | null {
    return this.#own.get(assignmentId(this.#node, number)) ?? null
  }

  /** @returns the number of the next assignment of this node */
  nextNumber (): number {
    return this.#nextSequence++
  }

  /**
   * Records a new assignment of this node.
   *
   * @param draft - the assignment without its id
   * @param number - its number, from `nextNumber`
   * @returns the assignment with its id
   */
  start (draft: Omit<Assignment, 'id'>, number = this.nextNumber()): Assignment {
    const assignment = { ...draft, id: assignmentId(this.#node, number) }
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
    this.#own.set(assignment.id, { ...assignment, isPrefilled: true, prefilledAt: now })
  }

  /**
   * Removes an assignment of this node.
   *
   * @param assignment - the assignment
   * @param now - current time
   */
  end (assignment: Assignment, now: Millis): void {
    this.#dequeuePrefill(assignment, now)
    if (this.#own.delete(assignment.id)) this.#onRoomFreed()
  }

  /**
   * Records an assignment that this node has granted to a peer.
   *
   * @param node - the peer
   * @param draft - the assignment without its id
   * @param number - its number at the peer
   * @param now - current time
   * @param runningNow - current time on the clock for the silence of peers
   */
  grant (node: NodeId, draft: Omit<Assignment, 'id'>, number: number, now: Millis, runningNow: Millis = now): void {
    const peer = this.#peerOf(node, runningNow)
    const assignment = { ...draft, id: assignmentId(node, number) }
    this.endGranted(node, number, now)
    peer.assignments.set(assignment.id, assignment)
    peer.grantedAt.set(assignment.id, now)
    this.#enqueuePrefill(assignment, now)
  }

  /**
   * Records that the prompt of an assignment of a peer is prefilled.
   *
   * @param node - the peer
   * @param number - number of the assignment at the peer
   * @param now - current time
   */
  markGrantedPrefilled (node: NodeId, number: number, now: Millis): void {
    const id = assignmentId(node, number)
    const assignment = this.#peers.get(node)?.assignments.get(id)
    if (assignment === undefined || assignment.isPrefilled) return
    this.#dequeuePrefill(assignment, now)
    this.#peers.get(node)?.assignments.set(id, { ...assignment, isPrefilled: true, prefilledAt: now })
  }

  /**
   * Removes an assignment of a peer.
   *
   * @param node - the peer
   * @param number - number of the assignment at the peer
   * @param now - current time
   * @returns the assignment; null if it is not known
   */
  endGranted (node: NodeId, number: number, now: Millis): Assignment | null {
    const id = assignmentId(node, number)
    const peer = this.#peers.get(node)
    const assignment = peer?.assignments.get(id)
    if (peer === undefined || assignment === undefined) return null
    if (!assignment.isPrefilled) this.#dequeuePrefill(assignment, now)
    peer.assignments.delete(id)
    peer.grantedAt.delete(id)
    this.#onRoomFreed()
    return assignment
  }

  /**
   * Replaces the assignments of a peer with those of its latest report, except grants that the report may not contain yet.
   *
   * @param node - the peer
   * @param reported - all assignments made by the peer
   * @param now - current time
   * @param runningNow - current time on the clock for the silence of peers
   */
  setPeerAssignments (node: NodeId, reported: readonly Assignment[], now: Millis, runningNow: Millis = now): void {
    const peer = this.#peerOf(node, runningNow)
    const current = new Map(reported.map((assignment) => [assignment.id, assignment]))
    for (const [id, grantedAt] of peer.grantedAt) {
      const granted = peer.assignments.get(id)
      if (granted !== undefined && !current.has(id) && now - grantedAt < GRANT_DELIVERY_TIME) current.set(id, granted)
      else peer.grantedAt.delete(id)
    }
    this.#replaceAssignments(peer, current, now)
    peer.heardAt = runningNow
  }

  /**
   * Removes a peer and its assignments.
   *
   * @param node - the peer
   * @param now - current time
   */
  removePeer (node: NodeId, now: Millis): void {
    this.#replaceAssignments(this.#peerOf(node, now), new Map(), now)
    this.#peers.delete(node)
  }

  /**
   * Sums up the assignments of all nodes by backend server; expired reports of peers are removed first.
   *
   * @param now - current time
   * @param runningNow - current time on the clock for the silence of peers
   * @returns load by backend server
   */
  serverLoads (now: Millis, runningNow: Millis = now): ServerLoads {
    for (const [node, { heardAt }] of this.#peers) if (runningNow - heardAt > PEER_ASSIGNMENTS_EXPIRY) this.removePeer(node, now)
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

  #peerOf (node: NodeId, heardAt: Millis): PeerAssignments {
    const existing = this.#peers.get(node)
    if (existing !== undefined) return existing
    const peer: PeerAssignments = { assignments: new Map(), grantedAt: new Map(), heardAt }
    this.#peers.set(node, peer)
    return peer
  }

  #replaceAssignments (peer: PeerAssignments, current: ReadonlyMap<string, Assignment>, now: Millis): void {
    for (const assignment of peer.assignments.values()) {
      const successor = current.get(assignment.id)
      if (!assignment.isPrefilled && (successor === undefined || successor.isPrefilled)) this.#dequeuePrefill(assignment, now)
    }
    for (const assignment of current.values()) {
      if (!peer.assignments.has(assignment.id) && !assignment.isPrefilled) this.#enqueuePrefill(assignment, assignment.sentAt)
    }
    const known = new Map(peer.assignments)
    peer.assignments.clear()
    for (const [id, assignment] of current) peer.assignments.set(id, withPrefilledTime(assignment, known.get(id), now))
    if ([...known.keys()].some((id) => !current.has(id))) this.#onRoomFreed()
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

/** Reports do not state when a prompt was prefilled; it is the time of the first report that says so. */
const withPrefilledTime = (reported: Assignment, known: Assignment | undefined, now: Millis): Assignment => {
  if (!reported.isPrefilled || known === undefined) return reported
  const prefilledAt = known.isPrefilled ? known.prefilledAt : now
  return prefilledAt === undefined ? reported : { ...reported, prefilledAt }
}

/** Load by backend server at one moment. */
export class ServerLoads {
  /**
   * @param requests - requests by the engine that decodes them
   * @param pending - pending prefills by engine
   * @param reservedTokens - KV cache memory reserved for requests of other engines, by engine
   * @param withheld - what is kept free, by engine
   */
  constructor (
    private readonly requests: ReadonlyMap<RunnerId, readonly Assignment[]>,
    private readonly pending: ReadonlyMap<RunnerId, readonly PendingPrefill[]>,
    private readonly reservedTokens: ReadonlyMap<RunnerId, Tokens>,
    private readonly withheld: ReadonlyMap<RunnerId, WithheldRoom> = new Map()
  ) {}

  /**
   * @param withheld - what is kept free, by engine
   * @returns the same load with that in use
   */
  withholding (withheld: ReadonlyMap<RunnerId, WithheldRoom>): ServerLoads {
    return withheld.size === 0 ? this : new ServerLoads(this.requests, this.pending, this.reservedTokens, withheld)
  }

  /** @returns the requests on all backend servers */
  * assignments (): Generator<Assignment> {
    for (const requests of this.requests.values()) yield * requests
  }

  /**
   * @param server - the backend server
   * @returns its load
   */
  get (server: RunnerId): ServerLoad {
    const requests = this.requests.get(server)
    const pending = this.pending.get(server)
    const reservedTokens = this.reservedTokens.get(server)
    const withheld = this.withheld.get(server)
    if (requests === undefined && pending === undefined && reservedTokens === undefined && withheld === undefined) return NO_LOAD
    return { requests: requests ?? [], pending: pending ?? [], reservedTokens: (reservedTokens ?? 0) + (withheld?.tokens ?? 0), withheldSlots: withheld?.slots ?? 0 }
  }
}
