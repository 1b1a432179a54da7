/** The account of all work on the engines: this node's own, and what each peer last said of its own. */
import type { Millis, NodeId, RunnerId, Tokens } from '../types.js'
import { ReadingQueue } from './ReadingQueue.js'
import type { PendingReading } from './ReadingQueue.js'

/** Memory of one engine that a request of another one has reserved. */
export interface HeldTokens {
  readonly runner: RunnerId
  readonly tokens: Tokens
}

/** One request on an engine, from the moment at which it is sent there. */
export interface Work {
  /** Unique over all nodes. */
  readonly id: string
  readonly runner: RunnerId
  /** Engines that read parts of the prompt for `runner`. */
  readonly helpers: readonly RunnerId[]
  /** Reserved memory of other engines that holds parts of the prompt. */
  readonly held: readonly HeldTokens[]
  readonly prompt: Tokens
  /** Expected length of the answer. */
  readonly answer: Tokens
  /** Time for which each engine reads, if it is sound. */
  readonly part: Millis
  readonly sentAt: Millis
  /** Whether its first event has come: the prompt is read. */
  readonly isRead: boolean
  /** Longest pause between events that keeps the answer on time; null where there is none. */
  readonly pauseObjective: Millis | null
  /** When its first event is due. */
  readonly dueAt: Millis
}

/** What happens to a request on an engine. */
export const WorkChange = {
  Begun: 'begun',
  /** Begun on a plain service: short, and placed well enough by an account that is a little older. */
  BegunPlain: 'begun_plain',
  /** The prompt is read. */
  Read: 'read',
  Ended: 'ended'
} as const
export type WorkChange = typeof WorkChange[keyof typeof WorkChange]

/** What one engine has to do. */
export interface RunnerWork {
  /** What it reads, in the order in which it does. */
  readonly pending: readonly PendingReading[]
  /** Requests that it reads for itself or writes for. */
  readonly requests: readonly Work[]
  /** Memory that requests of other engines have reserved there. */
  readonly held: Tokens
}

/**
 * @param node - the node that sent a request
 * @param number - how many requests it had sent
 * @returns an id that is unique over all nodes
 */
export const workId = (node: NodeId, number: number): string => `${node}/${number}`

const NO_WORK: RunnerWork = { pending: [], requests: [], held: 0 }

interface PeerWork {
  readonly works: ReadonlyMap<string, Work>
  readonly heardAt: Millis
}

/** Age at which what a peer said of its work no longer counts: it has stopped or cannot be reached. */
export const PEER_WORK_EXPIRY: Millis = 1_500

/** Period in which arrivals are counted. */
const ARRIVALS_PERIOD: Millis = 1_000

/** All work on the engines, as far as this node knows. */
export class FleetWork {
  readonly #node: NodeId
  readonly #own = new Map<string, Work>()
  readonly #peers = new Map<NodeId, PeerWork>()
  readonly #reading = new Map<RunnerId, ReadingQueue>()
  #nextNumber = 1

  /** @param node - this node */
  constructor (node: NodeId) {
    this.#node = node
  }

  /** @returns this node's own work */
  own (): readonly Work[] {
    return [...this.#own.values()]
  }

  /**
   * Enters work of this node.
   *
   * @param work - what is sent, without its id
   * @returns the work with its id
   */
  begin (work: Omit<Work, 'id'>): Work {
    const entered = { ...work, id: workId(this.#node, this.#nextNumber++) }
    this.#own.set(entered.id, entered)
    this.#startReading(entered, work.sentAt)
    return entered
  }

  /**
   * Notes that the prompt of this node's work is read.
   *
   * @param work - the work
   * @param now - time
   */
  firstEvent (work: Work, now: Millis): void {
    if (!this.#own.has(work.id)) return
    this.#endReading(work, now)
    this.#own.set(work.id, { ...work, isRead: true })
  }

  /**
   * Removes work of this node.
   *
   * @param work - the work
   * @param now - time
   */
  end (work: Work, now: Millis): void {
    this.#endReading(work, now)
    this.#own.delete(work.id)
  }

  /**
   * Replaces what is known of a peer's work.
   *
   * @param node - the peer
   * @param works - all its work
   * @param now - time
   */
  hear (node: NodeId, works: readonly Work[], now: Millis): void {
    const before = this.#peers.get(node)?.works ?? new Map<string, Work>()
    const after = new Map(works.map((work) => [work.id, work]))
    for (const work of before.values()) {
      const successor = after.get(work.id)
      if (!work.isRead && (successor === undefined || successor.isRead)) this.#endReading(work, now)
    }
    for (const work of after.values()) {
      if (!before.has(work.id) && !work.isRead) this.#startReading(work, work.sentAt)
    }
    this.#peers.set(node, { works: after, heardAt: now })
  }

  /**
   * Forgets a peer.
   *
   * @param node - the peer
   * @param now - time
   */
  forget (node: NodeId, now: Millis): void {
    this.hear(node, [], now)
    this.#peers.delete(node)
  }

  /**
   * Adds up the work of all nodes by engine.
   *
   * @param now - time
   * @returns work by engine
   */
  byRunner (now: Millis): RunnerWorks {
    for (const [node, { heardAt }] of this.#peers) if (now - heardAt > PEER_WORK_EXPIRY) this.forget(node, now)
    const requests = new Map<RunnerId, Work[]>()
    const held = new Map<RunnerId, Tokens>()
    for (const work of this.#all()) {
      for (const { runner, tokens } of work.held) held.set(runner, (held.get(runner) ?? 0) + tokens)
      const known = requests.get(work.runner)
      if (known === undefined) requests.set(work.runner, [work])
      else known.push(work)
    }
    return new RunnerWorks(requests, this.#pending(now), held)
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

  * #all (): Generator<Work> {
    yield * this.#own.values()
    for (const { works } of this.#peers.values()) yield * works.values()
  }

  #pending (now: Millis): Map<RunnerId, PendingReading[]> {
    const pending = new Map<RunnerId, PendingReading[]>()
    for (const [runner, queue] of this.#reading) {
      queue.advance(now)
      if (queue.isEmpty) this.#reading.delete(runner)
      else pending.set(runner, queue.pending())
    }
    return pending
  }

  #startReading (work: Work, now: Millis): void {
    for (const runner of [work.runner, ...work.helpers]) this.#queueOf(runner, now).add(work, now)
  }

  #endReading (work: Work, now: Millis): void {
    for (const runner of [work.runner, ...work.helpers]) this.#reading.get(runner)?.remove(work, now)
  }

  #queueOf (runner: RunnerId, now: Millis): ReadingQueue {
    const known = this.#reading.get(runner)
    if (known !== undefined) return known
    const queue = new ReadingQueue(now)
    this.#reading.set(runner, queue)
    return queue
  }
}

/** Work by engine at one moment. */
export class RunnerWorks {
  /**
   * @param requests - requests by the engine that writes for them
   * @param pending - readings by engine
   * @param held - memory that requests of other engines have reserved, by engine
   */
  constructor (
    private readonly requests: ReadonlyMap<RunnerId, readonly Work[]>,
    private readonly pending: ReadonlyMap<RunnerId, readonly PendingReading[]>,
    private readonly held: ReadonlyMap<RunnerId, Tokens>
  ) {}

  /**
   * @param runner - the engine
   * @returns its work
   */
  of (runner: RunnerId): RunnerWork {
    const requests = this.requests.get(runner)
    const pending = this.pending.get(runner)
    const held = this.held.get(runner)
    if (requests === undefined && pending === undefined && held === undefined) return NO_WORK
    return { requests: requests ?? [], pending: pending ?? [], held: held ?? 0 }
  }
}
