/** Requests of one service that wait for memory or a slot, in the order in which they get it. */
import type { Millis, NodeId, RunnerId, Tokens } from '../../types.js'
import { OrganisationShares } from './OrganisationShares.js'

/** Interval at which a node confirms that a request still waits. A message costs about 250 B, so 5 a second are 1.2 KB/s of the 7 KB/s for control. */
export const RENEWAL_PERIOD: Millis = 200

/** Time without a confirmation after which a request counts as given up by its node: three periods, since datagrams may get lost. */
export const RENEWAL_EXPIRY: Millis = 3 * RENEWAL_PERIOD

/** Longest queue of one service: its renewals are at most 1,280 messages a second at the scheduler. */
export const MAX_WAITING_REQUESTS = 256

/** Identifies a waiting request: the node that asks, the start of its process and the number of the query there. */
export interface AdmissionKey {
  readonly node: NodeId
  readonly startedAt: number
  readonly number: number
}

/** What the order depends on. */
export interface AdmissionRank {
  /** 0 is the most urgent. */
  readonly urgency: number
  /** Empty if the caller has no organisation. */
  readonly organisation: string
  /** Latest time at which it has to be placed so that its answer is on time. */
  readonly latestStart: Millis
  /** Memory for its prompt and answer. */
  readonly tokens: Tokens
}

/** A request that waits. */
export interface AdmissionEntry extends AdmissionRank {
  readonly key: AdmissionKey
  /** Prefill time, by which shares of organisations are counted. */
  readonly work: Millis
  /** Time after which its caller can no longer be served. */
  readonly giveUpAt: Millis
}

interface WaitingEntry<Entry> {
  readonly entry: Entry
  readonly sequence: number
  renewedAt: Millis
  /** As `renewedAt`, on the clock that stands still while the process is held up. */
  renewedRunningAt: Millis
  /** Engines whose free memory is kept for it. */
  held: readonly RunnerId[]
}

interface RankedEntry<Entry> {
  readonly waiting: WaitingEntry<Entry>
  /** Counter that its organisation will have once all its requests before this one are served. */
  readonly virtualStart: Millis
}

/**
 * Orders waiting requests by urgency, share of their organisations, and deadline. A request that needs much memory may hold engines,
 * so that requests behind it do not take what becomes free there.
 */
export class AdmissionQueue<Entry extends AdmissionEntry> {
  readonly shares = new OrganisationShares()
  readonly #waiting = new Map<string, WaitingEntry<Entry>>()
  /** Request that holds an engine, by engine. */
  readonly #holders = new Map<RunnerId, Entry>()
  #nextSequence = 0

  /** @param maxLength - longest queue; beyond it, the last in order is refused */
  constructor (private readonly maxLength = MAX_WAITING_REQUESTS) {}

  get length (): number {
    return this.#waiting.size
  }

  /** Number of engines that are held for waiting requests. */
  get heldCount (): number {
    return this.#holders.size
  }

  has (key: AdmissionKey): boolean {
    return this.#waiting.has(textOf(key))
  }

  /**
   * Adds a request.
   *
   * @param entry - the request, which does not wait yet
   * @param now - current time
   * @param runningNow - current time on the clock that stands still while the process is held up
   * @returns the request for which there is no room in the queue, which may be this one; null if there is room
   */
  add (entry: Entry, now: Millis, runningNow: Millis): Entry | null {
    this.shares.startWaiting(entry.organisation)
    this.#waiting.set(textOf(entry.key), { entry, sequence: this.#nextSequence++, renewedAt: now, renewedRunningAt: runningNow, held: [] })
    if (this.#waiting.size <= this.maxLength) return null
    const last = this.#ranked().at(-1)?.waiting.entry ?? entry
    this.remove(last.key)
    return last
  }

  /**
   * Records that a request still waits.
   *
   * @param key - the request
   * @param now - current time
   * @param runningNow - current time on the clock that stands still while the process is held up
   * @returns whether it is in the queue
   */
  renew (key: AdmissionKey, now: Millis, runningNow: Millis): boolean {
    const waiting = this.#waiting.get(textOf(key))
    if (waiting === undefined) return false
    waiting.renewedAt = now
    waiting.renewedRunningAt = runningNow
    return true
  }

  /**
   * Removes a request, with what is held for it.
   *
   * @param key - the request
   * @returns the request; null if it is not in the queue
   */
  remove (key: AdmissionKey): Entry | null {
    const waiting = this.#waiting.get(textOf(key))
    if (waiting === undefined) return null
    this.hold(key, [])
    this.#waiting.delete(textOf(key))
    this.shares.stopWaiting(waiting.entry.organisation)
    return waiting.entry
  }

  /**
   * Removes a request that is placed, and counts it for its organisation.
   *
   * @param key - the request
   */
  placed (key: AdmissionKey): void {
    const waiting = this.#waiting.get(textOf(key))
    if (waiting === undefined) return
    this.shares.charge(waiting.entry.organisation, waiting.entry.work)
    this.remove(key)
  }

  /**
   * Removes the requests that their nodes have not renewed in time.
   *
   * @param runningNow - current time on the clock that stands still while the process is held up: renewals that wait to be read do not count as missing
   * @returns the requests
   */
  removeExpired (runningNow: Millis): Entry[] {
    const expired = [...this.#waiting.values()].filter(({ renewedRunningAt }) => runningNow - renewedRunningAt > RENEWAL_EXPIRY)
    for (const { entry } of expired) this.remove(entry.key)
    return expired.map(({ entry }) => entry)
  }

  /**
   * Removes the requests that can no longer be served.
   *
   * @param now - current time
   * @returns the requests
   */
  removeOverdue (now: Millis): Entry[] {
    const overdue = [...this.#waiting.values()].filter(({ entry }) => now > entry.giveUpAt)
    for (const { entry } of overdue) this.remove(entry.key)
    return overdue.map(({ entry }) => entry)
  }

  /**
   * Lists the requests that may be placed now. One whose last renewal is old is left out until it is renewed, since its node may have given it up while
   * this process was held up.
   *
   * @param limit - maximum number of requests
   * @param now - current time
   * @returns the first requests in order
   */
  first (limit: number, now: Millis): Entry[] {
    return this.#ranked().filter(({ waiting: { renewedAt } }) => now - renewedAt <= RENEWAL_EXPIRY).slice(0, limit).map(({ waiting: { entry } }) => entry)
  }

  /**
   * Lists the requests before another one that hold no engines: these wait for the same memory.
   *
   * @param rank - a request that does not wait
   * @returns the requests, in order
   */
  before (rank: AdmissionRank): Entry[] {
    if (this.#waiting.size === 0) return []
    const ranked = this.#ranked()
    const start = ranked.reduce((sum, { waiting: { entry } }) => sum + (isOwnBefore(entry, rank) ? entry.work : 0), this.shares.counterOf(rank.organisation))
    const isBefore = ({ waiting: { entry, held }, virtualStart }: RankedEntry<Entry>): boolean =>
      held.length === 0 && (entry.urgency - rank.urgency || virtualStart - start || entry.latestStart - rank.latestStart) <= 0
    return ranked.filter(isBefore).map(({ waiting: { entry } }) => entry)
  }

  /**
   * Keeps the free memory of engines for a request, which gives up those that it held before.
   *
   * @param key - the request
   * @param engines - the engines, which no other request holds
   */
  hold (key: AdmissionKey, engines: readonly RunnerId[]): void {
    const waiting = this.#waiting.get(textOf(key))
    if (waiting === undefined) return
    for (const engine of waiting.held) this.#holders.delete(engine)
    for (const engine of engines) this.#holders.set(engine, waiting.entry)
    waiting.held = engines
  }

  /** @returns the engines that a waiting request holds */
  heldBy (key: AdmissionKey): readonly RunnerId[] {
    return this.#waiting.get(textOf(key))?.held ?? []
  }

  /** @returns the requests that hold engines */
  holders (): Entry[] {
    return [...new Set(this.#holders.values())]
  }

  /**
   * @param engine - an engine
   * @param key - a request
   * @returns whether the engine is held for another request
   */
  isHeldForOther (engine: RunnerId, key: AdmissionKey): boolean {
    const holder = this.#holders.get(engine)
    return holder !== undefined && !isSame(holder.key, key)
  }

  /**
   * @param key - a request
   * @param urgency - its urgency; of all requests that hold engines, those that are not less urgent count
   * @returns the engines that the request must not use
   */
  heldAgainst (key: AdmissionKey, urgency = Infinity): Set<RunnerId> {
    return new Set([...this.#holders].filter(([, holder]) => holder.urgency <= urgency && !isSame(holder.key, key)).map(([engine]) => engine))
  }

  /** All requests in order. */
  #ranked (): Array<RankedEntry<Entry>> {
    const byDeadline = [...this.#waiting.values()].sort((a, b) => a.entry.urgency - b.entry.urgency || a.entry.latestStart - b.entry.latestStart || a.sequence - b.sequence)
    const counters = new Map<string, Millis>()
    const ranked = byDeadline.map((waiting) => {
      const { organisation, work } = waiting.entry
      const virtualStart = counters.get(organisation) ?? this.shares.counterOf(organisation)
      counters.set(organisation, virtualStart + work)
      return { waiting, virtualStart }
    })
    // Sorting is stable: requests with the same counter stay ordered by deadline.
    return ranked.sort((a, b) => a.waiting.entry.urgency - b.waiting.entry.urgency || a.virtualStart - b.virtualStart)
  }
}

/** Whether a request of the same organisation comes before another one. */
const isOwnBefore = (entry: AdmissionRank, { organisation, urgency, latestStart }: AdmissionRank): boolean =>
  entry.organisation === organisation && (entry.urgency - urgency || entry.latestStart - latestStart) <= 0

const isSame = (a: AdmissionKey, b: AdmissionKey): boolean => a.number === b.number && a.node === b.node && a.startedAt === b.startedAt

const textOf = ({ node, startedAt, number }: AdmissionKey): string => `${node}/${startedAt}/${number}`
