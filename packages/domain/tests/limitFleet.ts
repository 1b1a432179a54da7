/** A fleet whose nodes divide a limit by gossip that is late, while nodes start, stop and crash and the bound changes. */
import { MAX_GOSSIP_DELAY, OrganisationLimit } from '../src/index.js'
import type { LimitDemand, Millis, NodeId, OrganisationId } from '../src/index.js'
import { node } from './fixtures.js'

const ORGANISATION = 'o' as OrganisationId

/** Time between two announcements of a node. */
const EXCHANGE_INTERVAL: Millis = 500

/** Share of the announcements that come later, by up to `LONGEST_PAUSE`. */
const PAUSE_SHARE = 0.05
const LONGEST_PAUSE: Millis = 4_000
const LONGEST_REQUEST: Millis = 2_000

/** Time in which requests admitted under an earlier bound end: all nodes know the bound, and then the claims under it. */
const SETTLING_TIME: Millis = 2 * (MAX_GOSSIP_DELAY + EXCHANGE_INTERVAL + LONGEST_PAUSE) + LONGEST_REQUEST

/** Something that each node hears at a time of its own, within `MAX_GOSSIP_DELAY`. */
class News<Content> {
  readonly content: Content
  readonly at: Millis
  readonly #random: () => number
  readonly #delays = new Map<NodeId, Millis>()

  constructor (content: Content, at: Millis, random: () => number) {
    this.content = content
    this.at = at
    this.#random = random
  }

  hasReached (receiver: NodeId, now: Millis): boolean {
    const delay = this.#delays.get(receiver) ?? Math.floor(this.#random() * (MAX_GOSSIP_DELAY + 1))
    this.#delays.set(receiver, delay)
    return this.at + delay <= now
  }
}

interface FleetNode {
  readonly name: NodeId
  readonly limit: OrganisationLimit
  nextExchangeAt: Millis
  isStopping: boolean
  requestEnds: Millis[]
}

/** Simulates the nodes; `step` moves the time on. */
export class LimitFleet {
  readonly #random: () => number
  #nodes: FleetNode[] = []
  #bounds: News<number>[]
  /** Nodes that take new work, at each change. */
  #members: News<readonly NodeId[]>[] = []
  readonly #announcements = new Map<NodeId, News<LimitDemand | null>[]>()
  #started = 0
  #now: Millis = 0

  /**
   * @param random - source of uniform numbers in [0, 1)
   * @param size - number of nodes at the start
   * @param bound - bound at the start
   */
  constructor (random: () => number, size: number, bound: number) {
    this.#random = random
    this.#bounds = [this.#news(bound)]
    for (let started = 0; started < size; started++) this.start()
  }

  /** Requests in progress at all nodes. */
  get inProgress (): number {
    return this.#nodes.reduce((sum, { limit }) => sum + limit.inProgress, 0)
  }

  /** The greatest bound under which a request in progress may have been admitted. */
  get greatestBound (): number {
    const inForce = this.#bounds.findLastIndex(({ at }) => at <= this.#now - SETTLING_TIME)
    return Math.max(...this.#bounds.slice(Math.max(0, inForce)).map(({ content }) => content))
  }

  start (): void {
    const name = node(`n${this.#started}`)
    this.#started += 1
    this.#announcements.set(name, [])
    const bounds = { concurrent: this.#newest(this.#bounds, name) ?? this.#bounds[0]!.content, tokensPerSecond: null }
    const nextExchangeAt = this.#now + Math.floor(this.#random() * EXCHANGE_INTERVAL)
    this.#nodes.push({ name, limit: new OrganisationLimit(ORGANISATION, name, bounds, this.#now), nextExchangeAt, isStopping: false, requestEnds: [] })
    this.#changeMembers()
  }

  /** Ends a process with its requests. */
  crash (which: number): void {
    const crashed = this.#pick(which)
    this.#nodes = this.#nodes.filter((each) => each !== crashed)
    this.#changeMembers()
  }

  /** Lets a node end its requests and then its process. */
  stop (which: number): void {
    const stopping = this.#pick(which)
    if (stopping !== undefined) stopping.isStopping = true
    this.#changeMembers()
  }

  setBound (bound: number): void {
    this.#bounds.push(this.#news(bound))
  }

  /** Tries to start a request at a node. */
  request (which: number): void {
    const chosen = this.#pick(which)
    if (chosen?.limit.admit(1, this.#now) === null) chosen.requestEnds.push(this.#now + Math.ceil(this.#random() * LONGEST_REQUEST))
  }

  step (duration: Millis): void {
    this.#now += duration
    for (const each of this.#nodes) {
      this.#endRequests(each)
      if (each.nextExchangeAt <= this.#now) this.#exchange(each)
    }
    this.#nodes = this.#nodes.filter(({ isStopping, limit }) => !isStopping || limit.inProgress > 0)
  }

  #pick (which: number): FleetNode | undefined {
    const accepting = this.#accepting()
    return accepting[which % accepting.length]
  }

  #accepting (): readonly FleetNode[] {
    return this.#nodes.filter(({ isStopping }) => !isStopping)
  }

  #changeMembers (): void {
    this.#members.push(this.#news(this.#accepting().map(({ name }) => name)))
  }

  #endRequests ({ limit, requestEnds }: FleetNode): void {
    const ended = requestEnds.filter((end) => end <= this.#now)
    for (const end of ended) requestEnds.splice(requestEnds.indexOf(end), 1)
    ended.forEach(() => limit.release(0, this.#now))
  }

  #exchange (each: FleetNode): void {
    const { name, limit } = each
    each.nextExchangeAt = this.#now + EXCHANGE_INTERVAL + (this.#random() < PAUSE_SHARE ? Math.floor(this.#random() * LONGEST_PAUSE) : 0)
    limit.configure({ concurrent: this.#newest(this.#bounds, name) ?? this.#bounds[0]!.content, tokensPerSecond: null }, this.#now)
    const demand = limit.demand(this.#now)
    const announced = limit.isIdle(demand) ? null : demand
    limit.setPublishedDemand(announced, this.#now)
    this.#announcements.get(name)!.push(this.#news(announced))
    limit.update([...new Set([...this.#newest(this.#members, name) ?? [], name])], this.#demandsKnownTo(name), this.#now)
  }

  #demandsKnownTo (receiver: NodeId): readonly LimitDemand[] {
    const running = this.#nodes.filter(({ name }) => name !== receiver)
    return running.flatMap(({ name }) => this.#newest(this.#announcements.get(name)!, receiver) ?? [])
  }

  #newest<Content> (news: readonly News<Content>[], receiver: NodeId): Content | undefined {
    return news.findLast((each) => each.hasReached(receiver, this.#now))?.content
  }

  #news<Content> (content: Content): News<Content> {
    return new News(content, this.#now, this.#random)
  }
}
