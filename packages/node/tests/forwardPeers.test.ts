import { createSocket } from 'node:dgram'
import { once } from 'node:events'
import { setTimeout as sleep } from 'node:timers/promises'

import test from 'ava'
import fc from 'fast-check'

import { FleetAssignments, Readiness, AssignmentChange } from '@bluebellhill/domain'
import type { BackendServer, FailureDomain, NodeId, RunnerId, Assignment } from '@bluebellhill/domain'
import { HttpPool, success } from '@bluebellhill/services'

import { FleetState } from '../src/forward/FleetState.js'
import { FleetStateExchange } from '../src/forward/peers/FleetStateExchange.js'
import { PeerLink } from '../src/forward/peers/PeerLink.js'
import { PEER_LOST_AFTER, PeerTable } from '../src/forward/peers/PeerTable.js'
import { decodeSnapshot } from '../src/forward/peers/snapshotCodec.js'
import { decodeState, encodeState } from '../src/forward/peers/stateCodec.js'
import type { NodeState } from '../src/forward/peers/stateCodec.js'
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
  id: `n1/${index}`, server: `i-${index}` as RunnerId, helpers: [], reservations: [], prompt: 5_000, answer: 1_500, prefillTime: 20, sentAt: 900, isPrefilled: false, pauseObjective: 200, dueAt: 1_300, ...changes
})

const stateOf = (assignments: readonly Assignment[], sequence = 1, startedAt = 1_700_000_000_000): NodeState => ({
  node: NODE, startedAt, sequence, configurationVersion: 7, serversRevision: 41, stopping: false, storeLost: false, works: assignments, peers: [], failureDomain: ''
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
    decodeSnapshot(Buffer.from(JSON.stringify(fleetState.newerThan({ configuration, servers }))))
  t.deepEqual(exchange(0, 0), success({ deployment: DEPLOYMENT, servers: { listed: [{ server: BACKEND, revision: 3 }], revision: 4 } }))
  t.deepEqual(exchange(DEPLOYMENT.version, 4), success({ deployment: null, servers: null }))
})

test('a snapshot without the expected form is refused', (t) => {
  for (const body of ['{', '{}', '{"deployment":{"version":9},"servers":null}', '{"deployment":null,"servers":{"listed":[{"server":{"id":1}}],"revision":9}}']) {
    t.false(decodeSnapshot(Buffer.from(body)).ok, body)
  }
})

test('two nodes exchange assignments over sockets, and the one with the older state fetches the newer one', async (t) => {
  const log = silentLog()
  const clock = (): number => performance.now()
  const hosts = ['127.0.0.1', '127.0.0.2'] as const
  const port = PORTS_FROM + process.pid % PORT_COUNT
  const http = new HttpPool(2)
  const nodes = await Promise.all(hosts.map(async (host, index) => {
    const node = `n${index}` as NodeId
    const fleetState = new FleetState(log, clock)
    const assignments = new FleetAssignments(node)
    const exchange: FleetStateExchange = new FleetStateExchange({ fleetState, http, log, failureDomain: 'd1', peers: () => link.table.active() })
    const link = new PeerLink({ node, failureDomain: 'd1', host, port, startedAt: Date.now(), assignments, fleetState, log, clock, onPeerAhead: () => exchange.catchUp(), isStoreLost: () => false, onPeerStoreLost: () => {} })
    await exchange.start(host, port)
    await link.start()
    t.teardown(() => { link.dispose(); exchange.dispose() })
    return { link, assignments, fleetState }
  }))
  t.teardown(async () => { await http.dispose() })
  const [first, second] = nodes
  first!.link.addAddresses([`${hosts[1]}:${port}`])
  first!.fleetState.install(DEPLOYMENT, 'store')
  const { id: _, ...assignment } = assignmentOf(1, { sentAt: clock(), dueAt: clock() + 300 })
  first!.assignments.start(assignment)
  first!.link.assignmentChanged(AssignmentChange.Started)
  const until = clock() + 10_000
  while (clock() < until && (second!.fleetState.configurationVersion === 0 || second!.assignments.serverLoads(clock()).get('i-1' as RunnerId).requests.length === 0)) await sleep(10)
  t.is(second!.fleetState.configurationVersion, DEPLOYMENT.version)
  t.is(second!.assignments.serverLoads(clock()).get('i-1' as RunnerId).requests.length, 1)
})

test('a new node receives the addresses of the other nodes at once', async (t) => {
  const log = silentLog()
  const clock = (): number => performance.now()
  const port = PORTS_FROM + (process.pid + 1) % PORT_COUNT
  const links = await Promise.all(['127.0.0.3', '127.0.0.4', '127.0.0.5'].map(async (host, index) => {
    const node = `n${index}` as NodeId
    const fleetState = new FleetState(log, clock)
    const link = new PeerLink({
      node, failureDomain: `d${index}`, host, port, startedAt: Date.now(), assignments: new FleetAssignments(node), fleetState, log, clock, onPeerAhead: () => {}, isStoreLost: () => false, onPeerStoreLost: () => {}
    })
    await link.start()
    t.teardown(() => link.dispose())
    return link
  }))
  const [first, second, third] = links
  const until = clock() + 10_000
  first!.addAddresses([`127.0.0.4:${port}`])
  while (clock() < until && first!.table.active().length < 1) await sleep(10)
  third!.addAddresses([`127.0.0.4:${port}`])
  while (clock() < until && links.some((link) => link.table.active().length < 2)) await sleep(10)
  t.deepEqual(links.map((link) => link.table.active().length), [2, 2, 2])
  t.is(third!.table.active().find(({ node }) => node === 'n0')?.failureDomain, 'd0')
  t.truthy(second)
})

test('pattern: a plain request that ends soon is not sent to every node', async (t) => {
  const log = silentLog()
  const clock = (): number => performance.now()
  const port = PORTS_FROM + (process.pid + 2) % PORT_COUNT
  const assignments = new FleetAssignments('n1' as NodeId)
  const fleetState = new FleetState(log, clock)
  const link = new PeerLink({
    node: 'n1' as NodeId, failureDomain: 'd1', host: '127.0.0.6', port, startedAt: Date.now(), assignments, fleetState, log, clock, onPeerAhead: () => {}, isStoreLost: () => false, onPeerStoreLost: () => {}
  })
  const listener = createSocket('udp4')
  listener.bind(port, '127.0.0.7')
  await once(listener, 'listening')
  t.teardown(() => {
    link.dispose()
    listener.close()
  })
  const assignmentCounts: number[] = []
  listener.on('message', (datagram) => assignmentCounts.push(decodeState(datagram, clock()).works.length))
  await link.start()
  link.addAddresses([`127.0.0.7:${port}`])
  const { id: _, ...plain } = assignmentOf(1)
  for (let index = 0; index < 10; index += 1) {
    const assignment = assignments.start({ ...plain, sentAt: clock() })
    link.assignmentChanged(AssignmentChange.StartedPlain)
    assignments.end(assignment, clock())
    link.assignmentChanged(AssignmentChange.Ended)
    await sleep(10)
  }
  t.true(assignmentCounts.length <= 2, `${assignmentCounts.length} datagrams`)
  assignments.start({ ...plain, sentAt: clock() })
  link.assignmentChanged(AssignmentChange.Started)
  const until = clock() + 10_000
  while (clock() < until && !assignmentCounts.includes(1)) await sleep(5)
  t.true(assignmentCounts.includes(1))
})
