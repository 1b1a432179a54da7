/** Requests to cold servers under load, placed by the schedulers of several nodes in virtual time without a network. */
import test from 'ava'

import { coldAllowance, SchedulerDirectory, SenderRole, WARM_UP } from '@bluebellhill/domain'
import type { BackendServer, CandidateState, FailureDomain, Millis, NodeId, RunnerId, SchedulerCandidate, Service, WarmUpFigures } from '@bluebellhill/domain'

import { HeaderName } from '@bluebellhill/platform'

import { FleetState } from '../src/forward/FleetState.js'
import { decodeReply, encodeReply } from '../src/forward/peers/datagramCodec.js'
import { Scheduler } from '../src/forward/scheduling/Scheduler.js'
import { GROUP_CONTEXT, PlacementRefusal } from '../src/forward/scheduling/types.js'
import type { PlacementResult, PlacementSpec } from '../src/forward/scheduling/types.js'
import { DEPLOYMENT, ForwardFixture, signedHeaders, silentLog } from './forwardFixture.js'

/** Figures of the first fleet of the target workload; 44 requests in a second are allowed. */
const WARM_UP_FIGURES: WarmUpFigures = { period: 3_000, requestsPerSecond: 26 }
const BOUNDS = { overage: 1.5, tolerance: 5 }
const BOUND = 44

const ENGINE = { slots: 8, memory: 197_200, stepsPerPass: 48, step: 1.02, stepPerWriter: 0.007, stepPerThousandContext: 0.00254, readTokensPerMs: 206, readPerMillionPairs: 0.138, usualPrompt: 5_000, usualAnswer: 1_400 }
const DOMAINS = ['d0', 'd1', 'd2'] as FailureDomain[]
const START = 100_000
const WALL = 1_700_000_000_000

/** Longest time between the placement of a request and its arrival at the server. */
const SENDING_DELAY = 100
const REPORT_PERIOD = 100

interface VirtualNode {
  readonly self: SchedulerCandidate
  readonly directory: SchedulerDirectory
  readonly fleetState: FleetState
  readonly scheduler: Scheduler
}

interface FleetOptions {
  readonly nodes: number
  readonly servers: readonly BackendServer[]
  readonly service?: Partial<Service>
  /** Whether each failure domain is a group. */
  readonly isDivided?: boolean
}

const serverIn = (index: number, domain = DOMAINS[index % DOMAINS.length]!, changes: Partial<BackendServer> = {}): BackendServer =>
  ({ id: `e${index}` as RunnerId, service: 's', address: `10.9.0.${index}:80`, failureDomain: domain, slots: 8, readiness: 'ready', startedAt: WALL, ...changes })

/** Nodes that place requests on the same servers. */
class VirtualFleet {
  now = START
  readonly nodes: VirtualNode[]
  readonly arrivals = new Map<RunnerId, number[]>()
  refusals = 0
  /** Returns whether messages of one node reach another. */
  reaches: (from: VirtualNode, to: VirtualNode) => boolean = () => true
  #number = 1
  #random = 12_345
  readonly #ends: Array<{ at: Millis, end: () => void }> = []

  constructor (private readonly options: FleetOptions) {
    this.nodes = Array.from({ length: options.nodes }, (_, index) => this.#createNode(index))
    for (const { directory } of this.nodes) for (const { self } of this.nodes) directory.add(self)
    this.#report(-WARM_UP - 1)
    this.#report(0)
  }

  /** Lets requests arrive at a rate, from all nodes in turn, while time passes. */
  run (time: Millis, perSecond: number, onTick: () => void = () => {}): void {
    let due = 0
    for (const until = this.now + time; this.now < until; this.now += 1) {
      if (this.now % REPORT_PERIOD === 0) this.#report(0)
      for (const { end } of this.#ends.filter(({ at }) => at === this.now)) end()
      onTick()
      for (due += perSecond / 1_000; due >= 1; due -= 1) this.#request(this.nodes[this.#number % this.nodes.length]!)
    }
  }

  /** Lets an entry reach all nodes. */
  put (server: BackendServer, revision: number): void {
    for (const { fleetState } of this.nodes) fleetState.putServer({ server, revision }, 'store')
  }

  /** Most arrivals at one server within any second. */
  mostInOneSecond (id: RunnerId): number {
    const times = [...this.arrivals.get(id) ?? []].sort((a, b) => a - b)
    return Math.max(0, ...times.map((from) => times.filter((at) => at >= from && at < from + 1_000).length))
  }

  place (node: VirtualNode, number = this.#number++): PlacementResult {
    return node.scheduler.place(this.#spec(), { node: node.self.node, number }, GROUP_CONTEXT)
  }

  #request (node: VirtualNode): void {
    const number = this.#number++
    const { decidedBy, result } = this.#decide(node, number)
    if (result.type !== 'placed') this.refusals += 1
    if (result.type !== 'placed') return
    const { id } = result.choice.server
    this.arrivals.set(id, [...this.arrivals.get(id) ?? [], this.now + this.#nextRandom() * SENDING_DELAY])
    const duration = this.options.service?.engine == null ? 50 : 1_500
    const own = decidedBy === node ? node.scheduler.assignments.findOwn(number) : null
    const end = (): void => {
      if (own !== null) node.scheduler.assignments.end(own, this.now)
      else decidedBy.scheduler.applyReports(node.self.node, [{ number, isEnded: true, server: id, signal: null, slowdown: null }])
    }
    this.#ends.push({ at: this.now + duration, end })
  }

  /** Asks two schedulers like `PlacementQueries`, and decides alone if none answers. */
  #decide (node: VirtualNode, number: number): { decidedBy: VirtualNode, result: PlacementResult } {
    const owner = { node: node.self.node, number }
    for (let asked = 0; asked < 2; asked += 1) {
      const candidate = node.directory.scheduler(this.now)
      const decidedBy = this.nodes.find(({ self }) => self.node === candidate.node)!
      if (decidedBy === node || this.reaches(node, decidedBy)) return { decidedBy, result: decidedBy.scheduler.place(this.#spec(), owner, GROUP_CONTEXT) }
      node.directory.unanswered(candidate.node)
    }
    return { decidedBy: node, result: node.scheduler.place(this.#spec(), owner, { unseenArrivals: 0, limitShare: 1 / node.directory.size, isGroupDecision: false }) }
  }

  #spec (): PlacementSpec {
    return { request: 'r', service: 's', size: { prompt: 5_000, mostAnswer: 1_400 }, objective: 259, dueAt: this.now + 259, pauseObjective: 250, excluded: [], allowed: null, chargesRetry: false, isRedirected: true, isFirstAttempt: true, isSuspected: false, trialParts: [] }
  }

  #report (offset: Millis): void {
    const state: CandidateState = { uptime: 2 * WARM_UP, isStopping: false, hasLostStore: false, configurationVersion: 1, serversRevision: 1 }
    for (const from of this.nodes) {
      for (const { directory } of this.nodes.filter((to) => to !== from && this.reaches(from, to))) {
        directory.heard(from.self.node, state, this.now + offset)
        directory.reportReceived(from.self.node, this.now + offset)
      }
    }
  }

  #nextRandom (): number {
    this.#random = (this.#random * 1_103_515_245 + 12_345) % 2 ** 31
    return this.#random / 2 ** 31
  }

  #createNode (index: number): VirtualNode {
    const { servers, service, isDivided = false } = this.options
    const clock = (): Millis => this.now
    const self: SchedulerCandidate = { node: `n${index}` as NodeId, address: `10.0.0.${index}:1`, failureDomain: DOMAINS[index % DOMAINS.length]!, processor: 100 - index }
    const fleetState = new FleetState(silentLog(), clock)
    const directory = new SchedulerDirectory(self, this.now - 2 * WARM_UP)
    if (isDivided) directory.setGroup({ domain: self.failureDomain })
    const scheduler = new Scheduler({
      node: self.node, fleetState, log: silentLog(), clock, runningClock: clock, wallClock: () => WALL + this.now - START, retryBounds: () => ({ ratio: 0, slack: 0, window: 1_000 }), schedulerCount: () => isDivided ? DOMAINS.length : 1, group: () => directory.group, directory, warmUpBounds: () => BOUNDS
    })
    fleetState.install({ ...DEPLOYMENT, services: [{ name: 's', healthPath: '/', maxConnections: 100, engine: null, warmUp: WARM_UP_FIGURES, ...service }] }, 'store')
    for (const server of servers) fleetState.putServer({ server, revision: 1 }, 'store')
    return { self, directory, fleetState, scheduler }
  }
}

const TWO_SERVERS = [serverIn(0), serverIn(1)]

const isWithinDomain = (from: VirtualNode, to: VirtualNode): boolean => from.self.failureDomain === to.self.failureDomain

/** Holds the bound for 2.9 s after the start under 400 requests a second, of which the two cold servers accept a small part. */
const runCold = (fleet: VirtualFleet, onTick: () => void = () => {}): number[] => {
  fleet.run(2_900, 400, onTick)
  return TWO_SERVERS.map(({ id }) => fleet.mostInOneSecond(id))
}

test('servers that have just started get what they accept from one scheduler, and no more in any second', (t) => {
  const most = runCold(new VirtualFleet({ nodes: 12, servers: TWO_SERVERS }))
  t.true(most.every((count) => count >= 15 && count <= BOUND), most.join())
})

test('the bound holds while the failure domains are cut off from each other and all reach the servers', (t) => {
  const fleet = new VirtualFleet({ nodes: 59, servers: TWO_SERVERS })
  const most = runCold(fleet, () => { if (fleet.now === START + 700) fleet.reaches = isWithinDomain })
  t.true(most.every((count) => count >= 15 && count <= BOUND), most.join())
})

test('the bound holds when every node decides alone', (t) => {
  const fleet = new VirtualFleet({ nodes: 59, servers: TWO_SERVERS })
  const most = runCold(fleet, () => { if (fleet.now === START + 200) fleet.reaches = () => false })
  t.true(most.every((count) => count >= 5 && count <= BOUND), most.join())
})

test('the bound holds when some nodes no longer reach the scheduler, and when it ends', (t) => {
  for (const isEnded of [false, true]) {
    const fleet = new VirtualFleet({ nodes: 59, servers: TWO_SERVERS })
    const isCut = ({ self: { node } }: VirtualNode): boolean => node === 'n0'
    const most = runCold(fleet, () => {
      if (fleet.now === START + 700) fleet.reaches = (from, to) => !(isCut(to) && (isEnded || Number(from.self.node.slice(1)) > 20)) && !(isEnded && isCut(from))
    })
    t.true(most.every((count) => count >= 15 && count <= BOUND), `${most.join()}, ended ${isEnded}`)
  }
})

test('the bound holds over the schedulers of all groups', (t) => {
  const most = runCold(new VirtualFleet({ nodes: 60, servers: TWO_SERVERS, isDivided: true }))
  t.true(most.every((count) => count >= 15 && count <= BOUND), most.join())
})

test('a request that no cold server accepts yet is refused with the time to return, and cold servers of a lower limit keep that', (t) => {
  const fleet = new VirtualFleet({ nodes: 1, servers: [TWO_SERVERS[0]!] })
  const [node] = fleet.nodes
  while (fleet.place(node!).type === 'placed') t.true(fleet.now === START)
  t.like(fleet.place(node!), { type: 'refused', reason: PlacementRefusal.ServersCold })
  const refusal = fleet.place(node!)
  t.true(refusal.type === 'refused' && refusal.retryAfter! > 0 && refusal.retryAfter! < 200)
  node!.scheduler.statements.record({ server: TWO_SERVERS[0]!.id, startedAt: WALL, requestLimit: 1, isLeaving: false, heardAt: fleet.now, heardBy: node!.self.node })
  fleet.now += 200
  fleet.place(node!)
  fleet.now += 200
  t.like(fleet.place(node!), { type: 'refused', reason: PlacementRefusal.RequestLimit })
})

test('a service without a warm-up, or without a rate for it, has no limit', (t) => {
  for (const warmUp of [undefined, { period: 3_000, requestsPerSecond: 0 }]) {
    const fleet = new VirtualFleet({ nodes: 3, servers: TWO_SERVERS, service: { warmUp } })
    fleet.run(1_000, 400)
    t.is(fleet.refusals, 0)
    t.true(fleet.mostInOneSecond(TWO_SERVERS[0]!.id) > 150)
  }
})

/** Lets one of three failure domains return cold, its servers warm one after the other within a second, and doubles the load. */
const returnDomain = (service: Partial<Service>, perSecond: number): { returned: number[], others: number[], refusals: number, /** Most arrivals at one of its servers within any second while most of them are cold. */ most: number } => {
  const servers = Array.from({ length: 54 }, (_, index) => serverIn(index, DOMAINS[index % 3], { startedAt: WALL - 60_000 }))
  const fleet = new VirtualFleet({ nodes: 9, servers: servers.filter(({ failureDomain }) => failureDomain !== 'd2'), service })
  fleet.run(2_000, perSecond / 2)
  fleet.arrivals.clear()
  const returning = servers.filter(({ failureDomain }) => failureDomain === 'd2')
  for (const [index, server] of returning.entries()) fleet.put({ ...server, startedAt: WALL + 2_000, warmUpLeft: 2_000 + 50 * index }, 2)
  const before = fleet.refusals
  fleet.run(2_400, perSecond)
  const most = Math.max(...returning.map(({ id }) => fleet.mostInOneSecond(id)))
  fleet.run(600, perSecond)
  const countsOf = (isReturned: boolean): number[] => servers.filter((server) => returning.includes(server) === isReturned).map(({ id }) => fleet.arrivals.get(id)?.length ?? 0)
  return { returned: countsOf(true), others: countsOf(false), refusals: fleet.refusals - before, most }
}

// Guards against a returning failure domain that is left idle while the others are overloaded, and against a crash of its engines.
test('a failure domain of engines that returns cold under double load serves beside the others within the bound', (t) => {
  const { returned, others, refusals, most } = returnDomain({ engine: ENGINE }, 110)
  t.is(refusals, 0)
  t.true(most <= BOUND, `${most}`)
  t.true(Math.max(...returned) <= 1.25 * Math.max(...others), `${returned.join()}; ${others.join()}`)
})

// Guards against the whole load of a failure domain at its first warm server, while the limit holds the others down.
test('in a failure domain that returns cold under double load the first warm server gets no flood', (t) => {
  const { returned, refusals, most } = returnDomain({ warmUp: { period: 3_000, requestsPerSecond: 2 } }, 400)
  t.is(refusals, 0)
  t.true(most <= 8, `${most}`)
  t.true(Math.max(...returned) <= 1.5 * returned.reduce((sum, count) => sum + count) / returned.length, returned.join())
})

test('a server that gets cold again, in its entry, in a response, with its failure domain or after an evacuation, is limited again', (t) => {
  const warm = TWO_SERVERS.map((server) => ({ ...server, startedAt: WALL - 60_000 }))
  const causes: ReadonlyArray<(fleet: VirtualFleet) => void> = [
    (fleet) => { for (const server of warm) fleet.put({ ...server, warmUpLeft: 3_000 }, 2) },
    (fleet) => { for (const { scheduler } of fleet.nodes) for (const server of warm) scheduler.statements.coldServers.stated(server, 3_000, 'r') },
    (fleet) => { for (const { scheduler } of fleet.nodes) scheduler.statements.coldServers.domainReturned(warm, fleet.now) },
    (fleet) => {
      for (const { fleetState } of fleet.nodes) fleetState.restrictions.listed({ failureDomains: DOMAINS, revision: 2 })
      for (const { fleetState } of fleet.nodes) fleetState.restrictions.listed({ failureDomains: [], revision: 3 })
    }
  ]
  for (const cause of causes) {
    const fleet = new VirtualFleet({ nodes: 3, servers: warm })
    fleet.run(500, 400)
    t.is(fleet.refusals, 0)
    cause(fleet)
    fleet.arrivals.clear()
    const most = runCold(fleet)
    t.true(most.every((count) => count >= 15 && count <= BOUND), most.join())
  }
})

test('a placement on a cold server that is held up is not sent, and one on a warm server is', (t) => {
  const fleet = new VirtualFleet({ nodes: 1, servers: [serverIn(0), serverIn(1, 'd1' as FailureDomain, { startedAt: WALL - 60_000 })] })
  const { coldServers } = fleet.nodes[0]!.scheduler.statements
  t.deepEqual([SENDING_DELAY, SENDING_DELAY + 1].map((age) => coldServers.isTooLateFor(serverIn(0), age)), [false, true])
  t.false(coldServers.isTooLateFor(serverIn(1, 'd1' as FailureDomain, { startedAt: WALL - 60_000 }), 5_000))
})

test('the parts of all roles add up to no more than the bound', (t) => {
  const parts = Object.values(SenderRole).map((role) => coldAllowance(WARM_UP_FIGURES, BOUNDS, role, 1))
  t.true(parts.reduce((sum, part) => sum + part) <= BOUND, parts.join())
})

// Guards against a limit that is applied by neither side while nodes of an earlier build are in the fleet.
test('a reply tells that the limit of cold servers was applied, and one of an earlier build does not', (t) => {
  const fleet = new VirtualFleet({ nodes: 1, servers: TWO_SERVERS })
  const result = fleet.place(fleet.nodes[0]!)
  const reply = encodeReply(1, result, fleet.now)
  const decode = (): PlacementResult => decodeReply(reply, 's', (id) => fleet.nodes[0]!.fleetState.servers.find(id), fleet.now)
  t.like(decode(), { type: 'placed', keepsWarmUp: true })
  if (reply.result?.$case === 'placement') delete reply.result.value.keepsWarmUp
  t.false('keepsWarmUp' in decode())
})

test('a warm-up that a server states in an answer limits the next requests', async (t) => {
  const arrivals: number[] = []
  const fixture = await ForwardFixture.start(t, (request, response) => {
    arrivals.push(performance.now())
    response.writeHead(200, { ...signedHeaders(request), [HeaderName.WarmUpLeft]: '3000' }).end('answer')
  })
  const warmUp = { period: 3_000, requestsPerSecond: 5 }
  fixture.fleetState.install({ ...DEPLOYMENT, version: 2, services: DEPLOYMENT.services.map((service) => ({ ...service, warmUp })) }, 'store')
  t.is((await fixture.call('/unsafe/x')).status, 200)
  const statuses = (await Promise.all(Array.from({ length: 20 }, async () => await fixture.call('/unsafe/x')))).map(({ status }) => status)
  const [first = 0] = arrivals
  t.true(arrivals.slice(1).filter((at) => at < first + 1_000).length <= warmUp.requestsPerSecond)
  t.true(statuses.includes(503))
  t.is(fixture.linesOf('server.cold').length, 1)
  t.regex(fixture.linesOf('server.cold').join(), /server=e0 .*evidence=answer limit=5/)
  t.regex(fixture.linesOf('request.not_placed').join(), /reason=servers_cold retry_after_ms=/)
})
