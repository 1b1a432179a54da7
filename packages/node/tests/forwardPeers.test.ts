import { createSocket } from 'node:dgram'
import { once } from 'node:events'
import { createServer } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'

import test from 'ava'
import type { ExecutionContext } from 'ava'
import fc from 'fast-check'

import { CANDIDATE_SILENCE, MAX_GROUP_ENGINES, Readiness, SchedulerDirectory, WARM_UP } from '@bluebellhill/domain'
import type { BackendServer, FailureDomain, Millis, NodeId, RunnerId, Assignment, SchedulerCandidate } from '@bluebellhill/domain'
import { fleetWire } from '@bluebellhill/protocol'
import { HttpPool, success } from '@bluebellhill/services'

import { RunningClock } from '../src/clock/RunningClock.js'
import { FleetState } from '../src/forward/FleetState.js'
import { ForwardMetrics } from '../src/forward/ForwardMetrics.js'
import { decodeDatagram } from '../src/forward/peers/datagramCodec.js'
import { FleetStateExchange } from '../src/forward/peers/FleetStateExchange.js'
import { PeerLink } from '../src/forward/peers/PeerLink.js'
import type { FleetStateSource } from '../src/forward/peers/PeerLink.js'
import { PEER_LOST_AFTER, PeerTable } from '../src/forward/peers/PeerTable.js'
import { decodeSnapshot, encodeSnapshot } from '../src/forward/peers/snapshotCodec.js'
import { decodeState, encodeState } from '../src/forward/peers/stateCodec.js'
import type { NodeState } from '../src/forward/peers/stateCodec.js'
import { PlacementClient } from '../src/forward/scheduling/PlacementClient.js'
import { Scheduler } from '../src/forward/scheduling/Scheduler.js'
import { SchedulerHost } from '../src/forward/scheduling/SchedulerHost.js'
import { encodeNodeEntry, parseNodeEntry } from '../src/forward/store/NodeRegistration.js'
import { DEPLOYMENT, silentLog } from './forwardFixture.js'

const NODE = 'n1' as NodeId
const ADDRESS = '127.0.0.1:1'

/** Range of ports below those that the system assigns to outgoing connections. */
const PORTS_FROM = 10_000
const PORT_COUNT = 20_000

/** Datagrams stay below the usual packet size. */
const MAX_DATAGRAM_BYTES = 1_400

const BACKEND: BackendServer = {
  id: 'i-1' as RunnerId, service: 's', address: '10.0.0.1:80', failureDomain: 'd1' as FailureDomain, slots: 4, readiness: Readiness.Ready, startedAt: 5
}

const assignmentOf = (index: number, changes: Partial<Assignment> = {}): Assignment => ({
  id: `n1/${index}`, server: `i-${index}` as RunnerId, helpers: [], reservations: [], prompt: 5_000, answer: 1_500, prefillTime: 20, sentAt: 900, isPrefilled: false, pauseObjective: 200, dueAt: 1_300, isDeferred: false, ...changes
})

const stateOf = (assignments: readonly Assignment[], sequence = 1, startedAt = 1_700_000_000_000): NodeState => ({
  node: NODE, startedAt, sequence, configurationVersion: 7, serversRevision: 41, stopping: false, storeLost: false, works: assignments, peers: [], notices: [], quarantine: undefined, failureDomain: '', version: 1, processor: 0
})

const recordAll = (table: PeerTable, sent: NodeState, now = 1_000): ReturnType<PeerTable['record']> =>
  encodeState(sent, now).reduce<ReturnType<PeerTable['record']>>((received, datagram) => table.record(decodeState(datagram, now), ADDRESS, now) ?? received, null)

test('a decoded state equals the encoded one, with times on the clock of the receiver', (t) => {
  const assignment = assignmentOf(1, { helpers: ['i-2' as RunnerId], reservations: [{ runner: 'i-2' as RunnerId, tokens: 9 }] })
  const [datagram] = encodeState(stateOf([assignment]), 1_000)
  const received = decodeState(datagram!, 51_000)
  t.deepEqual(received.works, [{ ...assignment, sentAt: 50_900, dueAt: 51_300 }])
  t.like(received, { node: NODE, startedAt: 1_700_000_000_000, configurationVersion: 7, serversRevision: 41 })
})

test('a state with many assignments is sent in several small datagrams', (t) => {
  const assignments = Array.from({ length: 50 }, (_, index) => assignmentOf(index))
  const datagrams = encodeState(stateOf(assignments), 1_000)
  t.true(datagrams.length > 1)
  t.true(Math.max(...datagrams.map(({ length }) => length)) < MAX_DATAGRAM_BYTES)
  t.is(recordAll(new PeerTable(), stateOf(assignments))?.assignments.length, 50)
})

test('decoding random bytes returns a state or throws an Error', (t) => {
  fc.assert(fc.property(fc.uint8Array({ maxLength: 200 }), (bytes) => {
    try {
      return decodeState(bytes, 0).node !== ''
    } catch (error) {
      return error instanceof Error
    }
  }), { seed: 5, numRuns: 2_000 })
  t.pass()
})

test('an older state never replaces a newer one, and a state from a later start replaces an earlier one', (t) => {
  const table = new PeerTable()
  t.truthy(recordAll(table, stateOf([], 5)))
  t.is(recordAll(table, stateOf([], 4)), null)
  t.is(recordAll(table, stateOf([], 5)), null)
  t.true(recordAll(table, stateOf([], 1, 1_700_000_009_000))?.isNew)
  t.is(recordAll(table, stateOf([], 6)), null)
})

test('the loss of the store is reported once for each node', (t) => {
  const table = new PeerTable()
  const lost = (sequence: number, storeLost: boolean): boolean | undefined => recordAll(table, { ...stateOf([], sequence), storeLost })?.hasLostStore
  t.deepEqual([lost(1, false), lost(2, true), lost(3, true), lost(4, false), lost(5, true)], [false, true, false, false, true])
})

test('a node that restarts after its clock was set back is accepted', (t) => {
  const table = new PeerTable()
  t.truthy(recordAll(table, stateOf([], 50), 1_000))
  t.is(recordAll(table, stateOf([], 1, 1_699_999_990_000), 1_500), null)
  t.true(recordAll(table, stateOf([], 2, 1_699_999_990_000), 2_500)?.isNew)
  t.truthy(recordAll(table, stateOf([], 3, 1_699_999_990_000), 3_000))
})

test('a node that sends nothing is lost once, and is new when it sends again', (t) => {
  const table = new PeerTable()
  recordAll(table, stateOf([], 1), 0)
  t.deepEqual(table.expire(PEER_LOST_AFTER), [])
  t.is(table.expire(PEER_LOST_AFTER + 1).length, 1)
  t.deepEqual(table.expire(PEER_LOST_AFTER + 2), [])
  t.true(recordAll(table, stateOf([], 2), 5_000)?.isNew)
})

test('the state is sent to addresses that were only reported', (t) => {
  const table = new PeerTable()
  table.addAddresses(['10.0.0.1:1'], 0)
  t.deepEqual(table.addresses(), ['10.0.0.1:1'])
})

test('the failure domain of a node is kept when later states do not contain it', (t) => {
  const table = new PeerTable()
  t.is(recordAll(table, { ...stateOf([], 1), failureDomain: 'd1' })?.peer.failureDomain, 'd1')
  t.is(recordAll(table, stateOf([], 2))?.peer.failureDomain, 'd1')
})

test('a decoded snapshot equals the sent state, and contains only the parts that the other node lacks', (t) => {
  const clock = (): number => 0
  const fleetState = new FleetState(silentLog(), clock)
  fleetState.install(DEPLOYMENT, 'store')
  fleetState.replaceServers([{ server: BACKEND, revision: 3 }], 4, 'store')
  const exchange = (configuration: number, servers: number): ReturnType<typeof decodeSnapshot> =>
    decodeSnapshot(Buffer.from(encodeSnapshot(fleetState.newerThan({ configuration, servers }))), { era: 0, isKeyRequired: false })
  t.deepEqual(exchange(0, 0), success({ deployment: DEPLOYMENT, servers: { listed: [{ server: BACKEND, revision: 3 }], revision: 4 } }))
  t.deepEqual(exchange(DEPLOYMENT.version, 4), success({ deployment: null, servers: null }))
})

test('a snapshot without the expected form is refused', (t) => {
  for (const body of ['{', '{}', '{"deployment":{"version":9},"servers":null}', '{"deployment":null,"servers":{"listed":[{"server":{"id":1}}],"revision":9}}']) {
    t.false(decodeSnapshot(Buffer.from(body), { era: 0, isKeyRequired: false }).ok, body)
  }
})

// Guards against incident DRAIN of issue 26: a node that had announced a change and then stopped was asked for it again and again, for 2.6 s.
test('a newer state is fetched from another node after the one in the same failure domain has stopped answering', async (t) => {
  const port = PORTS_FROM + (process.pid + 6) % PORT_COUNT
  const clock = (): number => performance.now()
  const stopped = createServer(() => {})
  stopped.listen(port, '127.0.0.16')
  await once(stopped, 'listening')
  t.teardown(() => { stopped.close() })
  const http = new HttpPool(2)
  const openExchange = (fleetState: FleetState, peers: readonly FleetStateSource[]): FleetStateExchange =>
    new FleetStateExchange({ fleetState, http, log: silentLog(), metrics: new ForwardMetrics(), clock, failureDomain: 'd1', peers: () => peers, onRelayed: () => {} })
  const source = (node: string, address: string, failureDomain: string): FleetStateSource =>
    ({ node: node as NodeId, address: `${address}:${port}`, failureDomain, configurationVersion: DEPLOYMENT.version, serversRevision: 0 })
  const current = new FleetState(silentLog(), clock)
  current.install(DEPLOYMENT, 'store')
  const answering = openExchange(current, [])
  await answering.start('127.0.0.17', port)
  const behind = new FleetState(silentLog(), clock)
  const exchange = openExchange(behind, [source('stopped', '127.0.0.16', 'd1'), source('answering', '127.0.0.17', 'd2')])
  t.teardown(async () => {
    exchange.dispose()
    answering.dispose()
    await http.dispose()
  })
  exchange.catchUp()
  await until(() => behind.configurationVersion > 0)
  t.is(behind.configurationVersion, DEPLOYMENT.version)
})

/** Starts a node with its scheduler and its sockets, without callers and store. */
const openPeer = async (t: ExecutionContext, host: string, port: number, index: number, domain = `d${index}`): Promise<TestPeer> => {
  const log = silentLog()
  let heldUp: Millis = 0
  const clock = (): Millis => performance.now() + heldUp
  const silenceClock = new RunningClock(clock)
  silenceClock.start()
  const runningClock = (): Millis => silenceClock.now()
  const self: SchedulerCandidate = { node: `n${index}` as NodeId, address: `${host}:${port}`, failureDomain: domain as FailureDomain, processor: 1 + index }
  const fleetState = new FleetState(log, clock)
  const directory = new SchedulerDirectory(self, runningClock() - WARM_UP)
  const scheduler = new Scheduler({ node: self.node, fleetState, log, clock, runningClock, retryBounds: () => ({ ratio: 0.2, slack: 100, window: 10_000 }), schedulerCount: () => 1, group: () => directory.group })
  const http = new HttpPool(2)
  const exchange: FleetStateExchange = new FleetStateExchange({ fleetState, http, log, metrics: new ForwardMetrics(), clock, failureDomain: self.failureDomain, peers: () => link.sources(), onRelayed: () => {} })
  const send: PeerLink['send'] = (address, content) => link.send(address, content)
  const schedulerHost = new SchedulerHost({ scheduler, log, clock, runningClock, send })
  const placement: PlacementClient = new PlacementClient({ node: self.node, scheduler, directory, fleetState, log, clock, runningClock, send, onUncoordinatedPlacement: () => link.reportSoon(), onNotice: (notice) => link.noticeHeard(notice) })
  const link: PeerLink = new PeerLink({
    self,
    startedAt: Date.now(),
    scheduler,
    directory,
    fleetState,
    log,
    clock,
    runningClock,
    schedulersInUse: () => placement.schedulersInUse(),
    onPeerAhead: () => exchange.catchUp(),
    isStoreLost: () => false,
    onPeerStoreLost: () => {},
    onPlacementMessage: (message, address) => {
      schedulerHost.handle(message, address)
      placement.handle(message, address)
    }
  })
  await exchange.start(host, port)
  await link.start()
  t.teardown(async () => {
    link.dispose()
    exchange.dispose()
    placement.dispose()
    await http.dispose()
    silenceClock.dispose()
  })
  const holdUp = (time: Millis): void => {
    silenceClock.dispose()
    heldUp += time
  }
  return { self, link, scheduler, directory, fleetState, placement, clock, runningClock, holdUp }
}

interface TestPeer {
  readonly self: SchedulerCandidate
  readonly link: PeerLink
  readonly scheduler: Scheduler
  readonly directory: SchedulerDirectory
  readonly fleetState: FleetState
  readonly placement: PlacementClient
  readonly clock: () => Millis
  /** Clock on which the silence of other nodes is measured. */
  readonly runningClock: () => Millis
  /** Lets a time pass in which the node does not run; its clock for silence stands still from then on. */
  readonly holdUp: (time: Millis) => void
}

/** Waits for a condition, with a generous limit. */
const until = async (condition: () => boolean): Promise<void> => {
  const limit = performance.now() + 10_000
  while (!condition() && performance.now() < limit) await sleep(10)
}

test('a node reports its assignments to the scheduler, and fetches the newer fleet state from it', async (t) => {
  const port = PORTS_FROM + process.pid % PORT_COUNT
  const first = await openPeer(t, '127.0.0.1', port, 0)
  const second = await openPeer(t, '127.0.0.2', port, 1)
  second.fleetState.install(DEPLOYMENT, 'store')
  const { id: _, ...assignment } = assignmentOf(1, { sentAt: performance.now(), dueAt: performance.now() + 300 })
  first.scheduler.assignments.start(assignment)
  first.link.addNodes([second.self], [])
  const reported = (): number => second.scheduler.assignments.serverLoads(second.clock(), second.runningClock()).get('i-1' as RunnerId).requests.length
  await until(() => first.fleetState.configurationVersion > 0 && reported() > 0)
  t.is(first.fleetState.configurationVersion, DEPLOYMENT.version)
  t.is(reported(), 1)
  await until(() => first.directory.scheduler(first.runningClock()).node === second.self.node)
  t.is(first.directory.scheduler(first.runningClock()).node, second.self.node)
})

// Guards against a scheduler that forgets what runs on the engines because it was held up itself.
test('a node that was held up for some seconds keeps what others have reported, and hears its scheduler', async (t) => {
  const port = PORTS_FROM + (process.pid + 7) % PORT_COUNT
  const reporting = await openPeer(t, '127.0.0.18', port, 0)
  const scheduling = await openPeer(t, '127.0.0.19', port, 1)
  const listener = createSocket('udp4')
  listener.bind(port, '127.0.0.20')
  await once(listener, 'listening')
  t.teardown(() => { listener.close() })
  const { id: _, ...assignment } = assignmentOf(1, { sentAt: reporting.clock() })
  reporting.scheduler.assignments.start(assignment)
  reporting.link.addNodes([scheduling.self], [])
  await until(() => scheduling.link.table.active().length === 1 && reporting.directory.scheduler(reporting.runningClock()).node === scheduling.self.node)
  reporting.link.dispose()
  for (const { holdUp } of [reporting, scheduling]) holdUp(60_000)
  scheduling.link.addNodes([], [`127.0.0.20:${port}`])
  // Two heartbeats, each of which looks for lost nodes.
  for (let count = 0; count < 2; count += 1) await once(listener, 'message')
  t.is(reporting.directory.scheduler(reporting.runningClock()).node, scheduling.self.node)
  t.is(scheduling.scheduler.assignments.serverLoads(scheduling.clock(), scheduling.runningClock()).get('i-1' as RunnerId).requests.length, 1)
})

test('a change of the configuration reaches the nodes that report to a candidate', async (t) => {
  const port = PORTS_FROM + (process.pid + 3) % PORT_COUNT
  const first = await openPeer(t, '127.0.0.8', port, 0)
  const second = await openPeer(t, '127.0.0.9', port, 1)
  first.link.addNodes([second.self], [])
  await until(() => second.link.table.active().length === 1)
  second.fleetState.install(DEPLOYMENT, 'store')
  await until(() => first.fleetState.configurationVersion > 0)
  t.is(first.fleetState.configurationVersion, DEPLOYMENT.version)
})

test('a new node learns of the candidates from the first one that it reports to', async (t) => {
  const port = PORTS_FROM + (process.pid + 1) % PORT_COUNT
  const peers = await Promise.all(['127.0.0.3', '127.0.0.4', '127.0.0.5'].map(async (host, index) => await openPeer(t, host, port, index)))
  const [first, second, third] = peers
  second!.link.addNodes([third!.self], [])
  await until(() => second!.link.sources().length === 1)
  first!.link.addNodes([second!.self], [])
  await until(() => first!.directory.scheduler(first!.runningClock()).node === third!.self.node)
  t.is(first!.directory.scheduler(first!.runningClock()).node, third!.self.node)
})

test('pattern: requests that come and go between heartbeats are not sent to every node', async (t) => {
  const port = PORTS_FROM + (process.pid + 2) % PORT_COUNT
  const peer = await openPeer(t, '127.0.0.6', port, 0)
  const listener = createSocket('udp4')
  listener.bind(port, '127.0.0.7')
  await once(listener, 'listening')
  t.teardown(() => { listener.close() })
  let datagrams = 0
  listener.on('message', () => { datagrams += 1 })
  peer.link.addNodes([{ node: 'listener' as NodeId, address: `127.0.0.7:${port}`, failureDomain: 'd1' as FailureDomain, processor: 2 }], [])
  const startedAt = performance.now()
  const { id: _, ...plain } = assignmentOf(1)
  for (let index = 0; index < 20; index += 1) {
    const assignment = peer.scheduler.assignments.start({ ...plain, sentAt: performance.now() })
    peer.scheduler.assignments.end(assignment, performance.now())
    await sleep(10)
  }
  const heartbeats = Math.ceil((performance.now() - startedAt) / 600)
  t.true(datagrams <= heartbeats + 1, `${datagrams} datagrams`)
})

test('nodes of the earlier build and of this one hear each other', (t) => {
  const earlier = fleetWire.NodeState.encode(fleetWire.NodeState.fromPartial({ node: 'old', startedAt: 5n, sequence: 1, parts: 1, configurationVersion: 3, serversRevision: 9n })).finish()
  const received = decodeState(earlier, 0)
  t.like(received, { node: 'old' as NodeId, version: 0, configurationVersion: 3 })
  const table = new PeerTable()
  t.truthy(table.record(received, ADDRESS, 0))
  t.deepEqual(table.addresses(), [ADDRESS])
  t.truthy(recordAll(table, stateOf([assignmentOf(1)])))
  t.deepEqual(table.addresses(), [ADDRESS])
  t.is(parseNodeEntry('old', '10.0.0.1:7340'), '10.0.0.1:7340')
  const self: SchedulerCandidate = { node: 'new' as NodeId, address: '10.0.0.2:7340', failureDomain: 'hall: a' as FailureDomain, processor: 1.35 }
  t.deepEqual(parseNodeEntry('new', encodeNodeEntry(self)), self)
  t.deepEqual(encodeNodeEntry(self).split(':').slice(0, 2), ['10.0.0.2', '7340'])
})

test('a list of changes leads to the same servers as the full list', (t) => {
  const clock = (): number => 0
  const source = new FleetState(silentLog(), clock)
  const copy = new FleetState(silentLog(), clock)
  const other = { ...BACKEND, id: 'i-2' as RunnerId }
  source.replaceServers([{ server: BACKEND, revision: 3 }, { server: other, revision: 4 }], 5, 'store')
  copy.merge(source.changesSince({ configuration: 0, servers: 0 }))
  source.removeServer(BACKEND.id, 6, 'store')
  source.putServer({ server: { ...other, readiness: Readiness.Draining }, revision: 7 }, 'store')
  const changes = source.changesSince({ configuration: 0, servers: 5 })
  t.deepEqual(changes.servers?.listed.map(({ server }) => server.id), [other.id])
  copy.merge(changes)
  t.deepEqual(copy.servers.entries(clock()), source.servers.entries(clock()))
  t.is(copy.serversRevision, 7)
})

test('decoding random bytes returns a message of the scheduler protocol or throws an Error', (t) => {
  fc.assert(fc.property(fc.uint8Array({ maxLength: 200 }), (bytes) => {
    try {
      return decodeDatagram(bytes).node !== ''
    } catch (error) {
      return error instanceof Error
    }
  }), { seed: 6, numRuns: 2_000 })
  t.pass()
})

test('the schedulers of two groups hear each other, with their own states', async (t) => {
  const port = PORTS_FROM + (process.pid + 4) % PORT_COUNT
  const peers = [await openPeer(t, '127.0.0.10', port, 0), await openPeer(t, '127.0.0.11', port, 1), await openPeer(t, '127.0.0.12', port, 2, 'd1')]
  const engine = { slots: 4, memory: 1, stepsPerPass: 1, step: 1, stepPerWriter: 0, stepPerThousandContext: 0, readTokensPerMs: 1, readPerMillionPairs: 0, usualAnswer: 1 }
  const servers = Array.from({ length: MAX_GROUP_ENGINES + 1 }, (_, index) => ({ server: { ...BACKEND, id: `e${index}` as RunnerId, failureDomain: `d${index % 2}` as FailureDomain }, revision: 1 }))
  for (const { fleetState, link } of peers) {
    fleetState.install({ ...DEPLOYMENT, services: [{ name: 's', healthPath: '/', maxConnections: 1, engine }] }, 'store')
    fleetState.replaceServers(servers, 2, 'store')
    link.addNodes(peers.map(({ self }) => self), [])
  }
  const [alone] = peers
  await until(() => alone!.directory.group.domain === 'd0')
  // All messages from before the division are now older than the time after which a node is no longer heard.
  await sleep(CANDIDATE_SILENCE + 500)
  const other = alone!.directory.live(alone!.runningClock()).find(({ node }) => node === peers[2]!.self.node)
  t.true((other?.state?.uptime ?? 0) > CANDIDATE_SILENCE)
  t.is(alone!.directory.scheduler(alone!.runningClock()).node, alone!.self.node)
})

/** More servers than the statements of one message. */
const STATING_SERVERS = 30

test('what backend servers state to one node is soon known to the scheduler and to the nodes that report to it', async (t) => {
  const port = PORTS_FROM + (process.pid + 5) % PORT_COUNT
  const peers = [await openPeer(t, '127.0.0.13', port, 0), await openPeer(t, '127.0.0.14', port, 1), await openPeer(t, '127.0.0.15', port, 2)]
  const [first, second, scheduling] = peers
  for (const { link } of [first!, second!]) link.addNodes([scheduling!.self], [])
  await until(() => scheduling!.link.table.active().length === 2)
  const servers = Array.from({ length: STATING_SERVERS }, (_, index) => ({ ...BACKEND, id: `e${index}` as RunnerId }))
  for (const server of servers) first!.placement.answers.received(server, { requestLimit: 2, isLeaving: false }, 'r0')
  const knownBy = ({ scheduler }: TestPeer): number => servers.filter((server) => scheduler.statements.notices.find(server)?.requestLimit === 2).length
  await until(() => knownBy(scheduling!) === STATING_SERVERS && knownBy(second!) === STATING_SERVERS)
  t.is(knownBy(scheduling!), STATING_SERVERS)
  t.is(knownBy(second!), STATING_SERVERS)
  t.is(second!.scheduler.statements.notices.find(servers[0]!)?.heardBy, first!.self.node)
  first!.placement.answers.received(servers[0]!, { requestLimit: null, isLeaving: false }, 'r1')
  await until(() => second!.scheduler.statements.notices.find(servers[0]!)?.requestLimit === null)
  t.is(second!.scheduler.statements.notices.find(servers[0]!)?.requestLimit, null)
})
