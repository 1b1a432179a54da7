/** Nodes that tell each other which prompt parts crash engines. */
import { createSocket } from 'node:dgram'
import { once } from 'node:events'
import { setTimeout as sleep } from 'node:timers/promises'

import test from 'ava'

import { MAX_GROUP_ENGINES, QuarantineStatus, Readiness } from '@bluebellhill/domain'
import type { CrashReport, FailureDomain, NodeId, PromptPart, QuarantineFacts, RunnerId } from '@bluebellhill/domain'

import { DEPLOYMENT } from './forwardFixture.js'
import { crashEngines, openEvidencePeer, proveSound, refuses, until } from './quarantineFixture.js'
import type { EvidencePeer } from './quarantineFixture.js'

/** Range of ports below those that the system assigns to outgoing connections, apart from that of other tests. */
const PORTS_FROM = 10_000
const PORT_COUNT = 20_000
const port = PORTS_FROM + (process.pid + 4_000) % PORT_COUNT

const HEARTBEAT_MS = 600

const quarantineOf = ({ scheduler }: EvidencePeer): EvidencePeer['scheduler']['quarantine'] => scheduler.quarantine

/** Guards against a part that crashes engines at every node in turn, because only the node that saw the crashes refuses it. */
test('a part that crashed engines at one node is soon refused at all nodes, and so is its release', async (t) => {
  const peers = [await openEvidencePeer(t, '127.0.1.1', port, 0), await openEvidencePeer(t, '127.0.1.2', port, 1), await openEvidencePeer(t, '127.0.1.3', port, 2)]
  const [first, second, scheduling] = peers
  for (const { link } of [first!, second!]) link.addNodes([scheduling!.self], [])
  await until(() => scheduling!.link.table.active().length === 2)
  await crashEngines(quarantineOf(first!), 'bad')
  await until(() => peers.every((peer) => refuses(quarantineOf(peer), 'bad')))
  t.true(peers.every((peer) => refuses(quarantineOf(peer), 'bad')))
  t.is(quarantineOf(second!).verdict(['good', 'own']).status, QuarantineStatus.Clear)
  proveSound(quarantineOf(second!), 'bad')
  await until(() => peers.every((peer) => !refuses(quarantineOf(peer), 'bad')))
  t.true(peers.every((peer) => !refuses(quarantineOf(peer), 'bad')))
})

test('a node that starts after the crashes knows the quarantine within a few heartbeats', async (t) => {
  const first = await openEvidencePeer(t, '127.0.1.4', port, 1)
  await crashEngines(quarantineOf(first), 'bad')
  const late = await openEvidencePeer(t, '127.0.1.5', port, 0)
  late.link.addNodes([first.self], [])
  const from = performance.now()
  await until(() => refuses(quarantineOf(late), 'bad'))
  t.true(refuses(quarantineOf(late), 'bad'))
  t.log(`known after ${Math.round(performance.now() - from)} ms; heartbeats come every ${HEARTBEAT_MS} ms`)
})

/** More evidence than one message holds, and than is repeated within the time of the test. */
const CRASHING_PARTS = 30

/** As many messages as a scheduler sends in three heartbeats. */
const MOST_MESSAGES = 3

/** Returns a function that counts the messages that a node has received from candidates since. */
const countMessages = ({ directory }: EvidencePeer): () => number => {
  let count = 0
  const heard = directory.heard.bind(directory)
  directory.heard = (...message) => {
    count += 1
    return heard(...message)
  }
  return () => count
}

const manyCrashes = (parts: readonly PromptPart[]): QuarantineFacts => {
  const now = performance.now()
  const crashes = parts.flatMap((part, index) => [500, 1_500].map((age): CrashReport =>
    ({ server: `${part}-${age}` as RunnerId, startedAt: null, reportedBy: 'n9' as NodeId, at: now - 5_000 * index - age, suspects: 1, parts: [part] })))
  return { crashes, survivals: [], trials: [], sounds: [{ part: 'good', at: now - 100 }] }
}

/** Guards against news that waits its turn among older evidence, while engines go on to crash. */
test('new evidence is passed on at once, before what is known', async (t) => {
  const peers = [await openEvidencePeer(t, '127.0.1.14', port, 0), await openEvidencePeer(t, '127.0.1.15', port, 1), await openEvidencePeer(t, '127.0.1.16', port, 2)]
  const [first, second, scheduling] = peers
  const parts = Array.from({ length: CRASHING_PARTS }, (_, index) => `${index}f0e1d2c3b4`)
  for (const peer of peers) quarantineOf(peer).received(manyCrashes(parts))
  for (const { link } of [first!, second!]) link.addNodes([scheduling!.self], [])
  await until(() => scheduling!.link.table.active().length === 2)
  await crashEngines(quarantineOf(first!), 'bad')
  const messages = countMessages(second!)
  await until(() => refuses(quarantineOf(second!), 'bad'))
  t.true(refuses(quarantineOf(second!), 'bad'))
  t.true(messages() <= MOST_MESSAGES, `the evidence came in turn, with message ${messages()}`)
})

/** Guards against a node that lets engines crash after its start, because it gets the evidence in small portions. */
test('a node that starts gets all evidence at once', async (t) => {
  const first = await openEvidencePeer(t, '127.0.1.12', port, 1)
  const parts = Array.from({ length: CRASHING_PARTS }, (_, index) => `${index}f0e1d2c3b4`)
  quarantineOf(first).received(manyCrashes(parts))
  t.true(parts.every((part) => refuses(quarantineOf(first), part)))
  const late = await openEvidencePeer(t, '127.0.1.13', port, 0)
  late.link.addNodes([first.self], [])
  const from = performance.now()
  await until(() => parts.every((part) => refuses(quarantineOf(late), part)))
  t.true(performance.now() - from < 5 * HEARTBEAT_MS, 'the evidence came in turn')
})

test('a quarantine reaches the nodes of another group', async (t) => {
  const peers = [await openEvidencePeer(t, '127.0.1.6', port, 0, 'd0'), await openEvidencePeer(t, '127.0.1.7', port, 1, 'd0'), await openEvidencePeer(t, '127.0.1.8', port, 2, 'd1'), await openEvidencePeer(t, '127.0.1.9', port, 3, 'd1')]
  const engine = { slots: 4, memory: 1, stepsPerPass: 1, step: 1, stepPerWriter: 0, stepPerThousandContext: 0, readTokensPerMs: 1, readPerMillionPairs: 0, usualAnswer: 1 }
  const servers = Array.from({ length: MAX_GROUP_ENGINES + 1 }, (_, index) => ({
    server: { id: `e${index}` as RunnerId, service: 's', address: '10.0.0.1:80', failureDomain: `d${index % 2}` as FailureDomain, slots: 4, readiness: Readiness.Ready, startedAt: null }, revision: 1
  }))
  for (const { fleetState, link } of peers) {
    fleetState.install({ ...DEPLOYMENT, services: [{ name: 's', healthPath: '/', maxConnections: 1, engine }] }, 'store')
    fleetState.replaceServers(servers, 2, 'store')
    link.addNodes(peers.map(({ self }) => self), [])
  }
  await until(() => peers.every(({ directory }) => directory.group.domain !== null) && peers[1]!.link.table.active().length > 0 && peers[3]!.link.table.active().length > 0)
  await crashEngines(quarantineOf(peers[0]!), 'bad')
  await until(() => peers.every((peer) => refuses(quarantineOf(peer), 'bad')))
  t.deepEqual(peers.map((peer) => refuses(quarantineOf(peer), 'bad')), [true, true, true, true])
})

/** Guards against a message for each request on days on which no engine crashes. */
test('pattern: sound answers cause no datagrams beside the heartbeats', async (t) => {
  const peer = await openEvidencePeer(t, '127.0.1.10', port, 0)
  const listener = createSocket('udp4')
  listener.bind(port, '127.0.1.11')
  await once(listener, 'listening')
  t.teardown(() => { listener.close() })
  let datagrams = 0
  listener.on('message', () => { datagrams += 1 })
  peer.link.addNodes([{ node: 'listener' as NodeId, address: `127.0.1.11:${port}`, failureDomain: 'd1' as FailureDomain, processor: 2 }], [])
  const startedAt = performance.now()
  for (let index = 0; index < 100; index += 1) {
    proveSound(quarantineOf(peer), `part${index % 7}`)
    await sleep(5)
  }
  const heartbeats = Math.ceil((performance.now() - startedAt) / HEARTBEAT_MS)
  t.true(datagrams <= heartbeats + 1, `${datagrams} datagrams`)
})
