/** Where requests go whose prompt parts are suspected, and who grants trials of quarantined ones. */
import { setTimeout as sleep } from 'node:timers/promises'

import test from 'ava'

import { AttemptEnd, AttemptHistory, CallKind, Readiness, SchedulerDirectory, WARM_UP } from '@bluebellhill/domain'
import type { BackendServer, CandidateState, CrashReport, FailureDomain, Millis, NodeId, QuarantineFacts, Route, RunnerId, SchedulerCandidate, Service } from '@bluebellhill/domain'

import { RunningClock } from '../src/clock/RunningClock.js'
import type { AdmittedCall } from '../src/forward/AdmittedCall.js'
import { FleetState } from '../src/forward/FleetState.js'
import { decodeDatagram, encodeDatagram } from '../src/forward/peers/datagramCodec.js'
import type { DatagramContent } from '../src/forward/peers/datagramCodec.js'
import type { QueryTiming } from '../src/forward/peers/PendingQueries.js'
import { PlacementClient } from '../src/forward/scheduling/PlacementClient.js'
import { Scheduler } from '../src/forward/scheduling/Scheduler.js'
import { SchedulerHost } from '../src/forward/scheduling/SchedulerHost.js'
import { NO_CAUTION, PlacementRefusal } from '../src/forward/scheduling/types.js'
import type { AttemptCaution, AttemptPlacement } from '../src/forward/scheduling/types.js'
import { DEPLOYMENT, silentLog } from './forwardFixture.js'

const ENGINE = { slots: 4, memory: 450_000, stepsPerPass: 46, step: 0.925, stepPerWriter: 0.007, stepPerThousandContext: 0.00254, readTokensPerMs: 256, readPerMillionPairs: 0.0917, usualAnswer: 1_500 }
const SERVICE: Service = { name: 'lm', healthPath: '/', maxConnections: 100, engine: ENGINE }
const ROUTE: Route = {
  name: 'chat', host: 'a', pathPrefix: '/', kind: CallKind.Stream, resumable: true, timeout: 10_000, objective: 300, pauseObjective: 200, priority: 1, maxAttempts: 3, isPublic: false, services: [{ service: 'lm', weight: 1 }]
}
/** Generous, so that a busy machine does not decide a test. */
const PATIENT: QueryTiming = { repeatDelay: 5_000, timeout: 10_000 }
const IMPATIENT: QueryTiming = { repeatDelay: 100, timeout: 1_000 }

/** Time for which all nodes have run; a millisecond more than it takes, because times are rounded. */
const WARM_TIME: Millis = WARM_UP + 1

const SUSPECTED: AttemptCaution = { isSuspected: true, trialParts: [] }
const NO_FACTS: QuarantineFacts = { crashes: [], survivals: [], sounds: [], trials: [] }
const TRIAL: AttemptCaution = { isSuspected: false, trialParts: ['bad'] }

/** A prompt that is divided among several engines if it may be. */
const LONG_PROMPT = { prompt: 200_000, mostAnswer: 1_500 }
const SHORT_PROMPT = { prompt: 5_000, mostAnswer: 1_500 }

const engine = (index: number): BackendServer =>
  ({ id: `e${index}` as RunnerId, service: 'lm', address: `10.9.0.${index}:80`, failureDomain: 'd1' as FailureDomain, slots: ENGINE.slots, readiness: Readiness.Ready, startedAt: null })

interface TestNode {
  readonly self: SchedulerCandidate
  readonly scheduler: Scheduler
  readonly placement: PlacementClient
  readonly directory: SchedulerDirectory
  readonly host: SchedulerHost
}

/** Nodes of which the first schedules for all, over a network in memory. */
class TestNetwork {
  readonly nodes: TestNode[] = []
  /** Changes a message on its way; null if it is lost. */
  alter: (content: DatagramContent) => DatagramContent | null = (content) => content
  group: { readonly domain: FailureDomain | null } = { domain: null }
  /** Measures the silence of the nodes; it does not tick, so that none is silent. */
  readonly runningClock = new RunningClock(() => performance.now())
  #requestCount = 0

  constructor (count: number, engines: number, private readonly queryTiming = PATIENT) {
    for (let index = 0; index < count; index += 1) this.nodes.push(this.#createNode(index, engines))
    const now = this.runningClock.now()
    const state: CandidateState = { uptime: WARM_TIME, isStopping: false, hasLostStore: false, configurationVersion: 1, serversRevision: 1 }
    for (const { directory } of this.nodes) {
      for (const { self } of this.nodes) directory.add(self)
      for (const at of [now - WARM_TIME, now]) for (const { self } of this.nodes) directory.heard(self.node, state, at)
    }
  }

  get schedulerNode (): TestNode {
    return this.nodes[0]!
  }

  async place (node: TestNode, caution: AttemptCaution, size = SHORT_PROMPT, history = new AttemptHistory(ROUTE)): Promise<AttemptPlacement> {
    const now = performance.now()
    this.#requestCount += 1
    const call: AdmittedCall = {
      id: `r${this.#requestCount}`, method: 'POST', path: '/', headers: [], body: Buffer.alloc(0), route: ROUTE, service: SERVICE, organisation: null, urgency: 1, size, parts: [], isRelayed: false, triedServers: [], lastEventId: null, arrivedAt: now, dueAt: now + ROUTE.objective, deadlineAt: now + ROUTE.timeout
    }
    return await node.placement.place(call, history, false, caution)
  }

  /** Tells a node of engines that crashed under requests with the part `bad`, so long ago that a trial is due. */
  tellOfCrashes ({ scheduler }: TestNode): void {
    const now = performance.now()
    const crashes = [3_000, 2_000].map((age, index): CrashReport => ({ server: `gone${index}` as RunnerId, startedAt: null, reportedBy: 'n9' as NodeId, at: now - age, suspects: 1, parts: ['bad'] }))
    scheduler.quarantine.received({ ...NO_FACTS, crashes, sounds: [{ part: 'good', at: now - 1_500 }] })
  }

  #createNode (index: number, engines: number): TestNode {
    const log = silentLog()
    const clock = (): Millis => performance.now()
    const runningClock = (): Millis => this.runningClock.now()
    const self: SchedulerCandidate = { node: `n${index}` as NodeId, address: `10.0.0.${index}:1`, failureDomain: 'd1' as FailureDomain, processor: 100 - index }
    const fleetState = new FleetState(log, clock)
    fleetState.install({ ...DEPLOYMENT, services: [SERVICE] }, 'store')
    for (let id = 0; id < engines; id += 1) fleetState.putServer({ server: engine(id), revision: 1 }, 'store')
    const directory = new SchedulerDirectory(self, runningClock() - WARM_TIME)
    const scheduler = new Scheduler({ node: self.node, fleetState, log, clock, runningClock, retryBounds: () => ({ ratio: 0, slack: 10, window: 1_000_000 }), schedulerCount: () => 1, group: () => this.group })
    const send = (address: string, content: DatagramContent): void => this.#deliver(node, address, content)
    const host = new SchedulerHost({ scheduler, log, clock, runningClock, send })
    const placement = new PlacementClient({ node: self.node, scheduler, directory, fleetState, log, clock, runningClock, send, onUncoordinatedPlacement: () => {}, onNotice: () => {}, queryTiming: this.queryTiming })
    const node: TestNode = { self, scheduler, placement, directory, host }
    return node
  }

  #deliver (from: TestNode, address: string, content: DatagramContent): void {
    const to = this.nodes.find(({ self }) => self.address === address)
    const altered = this.alter(content)
    if (to === undefined || altered === null) return
    const datagram = encodeDatagram(from.self.node, 1, altered)
    setImmediate(() => {
      const message = decodeDatagram(datagram)
      to.host.handle(message, from.self.address)
      to.placement.handle(message, from.self.address)
    })
  }
}

const serverOf = (placement: AttemptPlacement): string | null => placement.type === 'placed' ? placement.attempt.choice.server.id : null

const reasonOf = (placement: AttemptPlacement): string | null => placement.type === 'refused' ? placement.reason : null

const requestsOn = ({ schedulerNode, runningClock }: TestNetwork): number =>
  [0, 1, 2].reduce((sum, index) => sum + schedulerNode.scheduler.assignments.serverLoads(performance.now(), runningClock.now()).get(`e${index}` as RunnerId).requests.length, 0)

/** Guards against many streams that break off because a suspected request was packed onto a busy engine, as short prompts are. */
test('a suspected request goes where fewest requests run, also as a retry', async (t) => {
  const network = new TestNetwork(2, 3)
  const [scheduling, asking] = network.nodes
  const busy = [await network.place(scheduling!, NO_CAUTION), await network.place(asking!, NO_CAUTION)].map(serverOf)
  const first = serverOf(await network.place(asking!, SUSPECTED))
  t.false(busy.includes(first))
  const history = new AttemptHistory(ROUTE)
  history.start(first as RunnerId)
  history.end(first as RunnerId, AttemptEnd.Broken)
  const retried = serverOf(await network.place(asking!, SUSPECTED, SHORT_PROMPT, history))
  t.not(retried, first)
  t.false(busy.includes(retried))
})

/** Guards against trials and suspected requests that go to the server that has just crashed, because nothing runs there any more. */
test('a suspected request does not go to a server that is reported as crashed', async (t) => {
  const network = new TestNetwork(1, 3)
  const { scheduler } = network.schedulerNode
  for (const index of [0, 1]) {
    scheduler.quarantine.received({ ...NO_FACTS, crashes: [{ server: `e${index}` as RunnerId, startedAt: null, reportedBy: 'n9' as NodeId, at: performance.now(), suspects: 1, parts: ['other'] }] })
  }
  const chosen = [await network.place(network.schedulerNode, SUSPECTED), await network.place(network.schedulerNode, SUSPECTED)]
  t.deepEqual(chosen.map(serverOf), ['e2', 'e2'])
})

test('of servers with equally few requests a suspected one goes where the least prefill is pending', async (t) => {
  const network = new TestNetwork(1, 3)
  const now = performance.now()
  network.schedulerNode.scheduler.assignments.start({
    server: 'e0' as RunnerId, helpers: ['e1' as RunnerId], reservations: [], prompt: 100_000, answer: 1_500, sentAt: now, prefillTime: 5_000, isPrefilled: false, pauseObjective: 200, dueAt: now + 5_000, isDeferred: false
  })
  t.is(serverOf(await network.place(network.schedulerNode, SUSPECTED)), 'e2')
  t.is(serverOf(await network.place(network.schedulerNode, SUSPECTED)), 'e1')
})

test('a suspected request gets no helpers', async (t) => {
  const network = new TestNetwork(1, 3)
  const divided = await network.place(network.schedulerNode, NO_CAUTION, LONG_PROMPT)
  const alone = await network.place(new TestNetwork(1, 3).schedulerNode, SUSPECTED, LONG_PROMPT)
  t.true(divided.type === 'placed' && divided.attempt.choice.helpers.length > 0)
  t.true(alone.type === 'placed' && alone.attempt.choice.helpers.length === 0)
})

/** Guards against trials of all nodes at the same time. */
test('of nodes that ask for a trial at the same moment one gets it', async (t) => {
  const network = new TestNetwork(4, 3)
  for (const node of network.nodes) network.tellOfCrashes(node)
  const placements = await Promise.all(network.nodes.map(async (node) => await network.place(node, TRIAL)))
  t.is(placements.filter((placement) => placement.type === 'placed' && placement.attempt.isTrial).length, 1)
  t.deepEqual(placements.map(reasonOf).filter((reason) => reason !== null), Array.from({ length: 3 }, () => PlacementRefusal.Quarantined))
  t.is(network.schedulerNode.scheduler.quarantine.facts().trials.length, 1)
  t.is(requestsOn(network), 1)
})

test('a scheduler that knows of no crash grants no trial', async (t) => {
  const network = new TestNetwork(2, 3)
  network.tellOfCrashes(network.nodes[1]!)
  t.is(reasonOf(await network.place(network.nodes[1]!, TRIAL)), PlacementRefusal.Quarantined)
})

test('without the answer of a scheduler there is no trial', async (t) => {
  const network = new TestNetwork(2, 3, IMPATIENT)
  for (const node of network.nodes) network.tellOfCrashes(node)
  network.alter = () => null
  t.is(reasonOf(await network.place(network.nodes[1]!, TRIAL)), PlacementRefusal.Quarantined)
})

/** Guards against a quarantined request that is sent because a scheduler of an earlier build places it like any other. */
test('a scheduler of an earlier build grants no trial, and its place is freed', async (t) => {
  const network = new TestNetwork(2, 3)
  for (const node of network.nodes) network.tellOfCrashes(node)
  network.alter = (content) => {
    if (content.$case === 'placementQuery') return { $case: content.$case, value: { ...content.value, trialParts: [] } }
    return content
  }
  t.is(reasonOf(await network.place(network.nodes[1]!, TRIAL)), PlacementRefusal.Quarantined)
  const limit = performance.now() + PATIENT.timeout
  while (requestsOn(network) > 0 && performance.now() < limit) await sleep(2)
  t.is(requestsOn(network), 0)
})

test('of several groups the first by name decides on trials', async (t) => {
  const network = new TestNetwork(1, 3)
  const { scheduler } = network.schedulerNode
  network.tellOfCrashes(network.schedulerNode)
  network.group = { domain: 'd2' as FailureDomain }
  scheduler.recordGroupLoad({ domain: 'd1' as FailureDomain, address: '10.0.0.9:1', services: [] })
  t.is(reasonOf(await network.place(network.schedulerNode, TRIAL)), PlacementRefusal.Quarantined)
  network.group = { domain: 'd0' as FailureDomain }
  t.truthy(serverOf(await network.place(network.schedulerNode, TRIAL)))
})
