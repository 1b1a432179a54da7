/** Which ends of connections count as a crash of their backend server, and which requests may have caused it. */
import { setTimeout as sleep } from 'node:timers/promises'

import test from 'ava'

import { MIN_RESTART_TIME, Quarantine, Readiness } from '@bluebellhill/domain'
import type { BackendServer, CrashReport, FailureDomain, NodeId, PromptPart, RunnerId, ServerSurvival } from '@bluebellhill/domain'

import { ServerWatch } from '../src/forward/quarantine/ServerWatch.js'
import type { WatchedAttempt } from '../src/forward/quarantine/ServerWatch.js'

const SERVER: BackendServer = { id: 'e1' as RunnerId, service: 's', address: '10.0.0.1:80', failureDomain: 'd1' as FailureDomain, slots: 11, readiness: Readiness.Ready, startedAt: 5 }

/** One node's view of its attempts, on a clock that the test moves. */
class TestNode {
  now = 1_000
  /** Time for which the process was held up since its start. */
  heldUpFor = 0
  readonly crashes: CrashReport[] = []
  readonly survivals: ServerSurvival[] = []
  readonly sounds: PromptPart[] = []
  readonly leaving = new Set<RunnerId>()
  readonly watch: ServerWatch
  #requestCount = 0

  constructor (name = 'n1') {
    const aggregate = new Quarantine()
    this.watch = new ServerWatch({
      node: name as NodeId,
      clock: () => this.now,
      runningClock: () => this.now - this.heldUpFor,
      isLeaving: ({ id }) => this.leaving.has(id),
      onCrash: (report) => this.crashes.push(report),
      onSurvival: (survival) => this.survivals.push(survival),
      onSound: ({ parts }) => this.sounds.push(...parts),
      suspectsOf: (prompts) => aggregate.suspectsOf(prompts)
    })
  }

  send (parts: readonly PromptPart[], server = SERVER): WatchedAttempt {
    this.#requestCount += 1
    const attempt: WatchedAttempt = { request: `r${this.#requestCount}`, server, parts: [...parts, `own${this.#requestCount}`], identity: () => `@${this.#requestCount}`, sentAt: this.now, isSound: false }
    this.watch.sent(attempt)
    return attempt
  }

  /** Sends a request that has already proved sound. */
  sendSound (): WatchedAttempt {
    const attempt = this.send(['shared'])
    this.watch.provedSound(attempt)
    return attempt
  }

  /** Breaks off the connections of attempts, in order. */
  breakOff (attempts: readonly WatchedAttempt[]): void {
    for (const attempt of attempts) {
      this.watch.brokenOff(attempt)
      this.watch.ended(attempt)
    }
  }
}

/** Guards against the suspicion of streams that were long under way when another request crashed their engine. */
test('a crash under thirty sound streams is attributed to the only request that had not proved sound', (t) => {
  const node = new TestNode()
  const sound = Array.from({ length: 30 }, () => node.sendSound())
  const suspect = node.send(['shared', 'bad'])
  node.breakOff([...sound, suspect])
  t.is(node.crashes.length, 1)
  t.like(node.crashes[0], { server: SERVER.id, startedAt: 5, reportedBy: 'n1' as NodeId, suspects: 1 })
  t.deepEqual([...node.crashes[0]!.parts].sort(), ['bad', 'shared'])
})

test('a crash of a server whose requests have all proved sound is reported without suspects', (t) => {
  const node = new TestNode()
  node.breakOff([node.sendSound(), node.sendSound()])
  t.deepEqual(node.crashes.map(({ suspects, parts }) => ({ suspects, parts })), [{ suspects: 0, parts: [] }])
})

test('the last part of a prompt is never reported', (t) => {
  const node = new TestNode()
  node.breakOff([node.send([])])
  t.deepEqual(node.crashes[0]?.parts, [])
})

test('connections that break one after the other are one crash', (t) => {
  const node = new TestNode()
  const attempts = [node.send(['a']), node.send(['b']), node.send(['c'])]
  for (const attempt of attempts) {
    node.breakOff([attempt])
    node.now += 15
  }
  t.is(node.crashes.length, 1)
  t.is(node.crashes[0]?.suspects, 3)
})

/** Guards against a quarantine because of single connections that are reset while their server lives. */
test('a reset of one connection is taken back when a newer one gets data', (t) => {
  const node = new TestNode()
  node.breakOff([node.send(['a'])])
  node.now += 200
  const later = node.send(['a'])
  node.now += 20
  node.watch.dataReceived(later)
  t.deepEqual(node.survivals, [{ server: SERVER.id, startedAt: 5, at: node.now }])
  node.now += 1_000
  node.breakOff([later])
  t.is(node.crashes.length, 2)
})

/** Guards against BUDGET: a server that was back under its id refuted its own crash before its new start was known. */
test('data on a connection that was opened when the server may have started again does not refute its crash', (t) => {
  const node = new TestNode()
  node.breakOff([node.send(['a'])])
  node.now += MIN_RESTART_TIME
  node.watch.dataReceived(node.send(['b']))
  t.deepEqual(node.survivals, [])
  t.true(node.watch.isReportedCrashed(SERVER))
})

test('data that comes late on a connection of a server that cannot have started again refutes its crash', (t) => {
  const node = new TestNode()
  node.breakOff([node.send(['a'])])
  node.now += MIN_RESTART_TIME / 4
  const later = node.send(['b'])
  node.now += 10 * MIN_RESTART_TIME
  node.watch.dataReceived(later)
  t.is(node.survivals.length, 1)
})

test('data on a connection that was open before the crash refutes it at any time', async (t) => {
  const node = new TestNode()
  const other = node.send(['b'])
  node.breakOff([node.send(['a'])])
  node.now += 10 * MIN_RESTART_TIME
  node.watch.dataReceived(other)
  await sleep(150)
  t.is(node.survivals.length, 1)
})

/** Guards against a node that reads the end of a connection late, and takes a server that has started again for the one that ended. */
test('after a hold-up of this node, data on a new connection does not refute a crash', (t) => {
  const node = new TestNode()
  const attempt = node.send(['a'])
  node.now += 3_000
  node.heldUpFor += 3_000
  node.breakOff([attempt])
  node.now += 100
  node.watch.dataReceived(node.send(['b']))
  t.deepEqual(node.survivals, [])
})

test('a server that crashes again before its new start is known has crashed twice', (t) => {
  const node = new TestNode()
  node.breakOff([node.send(['a'])])
  node.now += 2 * MIN_RESTART_TIME
  node.breakOff([node.send(['a'])])
  t.deepEqual(node.crashes.map(({ startedAt }) => startedAt), [5, null])
})

test('both crashes of a server are refuted by a connection that was open before them', async (t) => {
  const node = new TestNode()
  const other = node.send(['b'])
  node.breakOff([node.send(['a'])])
  node.now += 2 * MIN_RESTART_TIME
  node.breakOff([node.send(['a'])])
  node.now += 100
  node.watch.dataReceived(other)
  await sleep(150)
  t.deepEqual(node.survivals.map(({ startedAt }) => startedAt), [5, null])
})

test('a reset of one connection is taken back when another stream goes on, on whichever node', async (t) => {
  const first = new TestNode('n1')
  const second = new TestNode('n2')
  const other = second.send(['b'])
  first.breakOff([first.send(['a'])])
  second.watch.crashHeard(first.crashes[0]!)
  second.now += 100
  second.watch.dataReceived(other)
  await sleep(150)
  t.is(second.survivals.length, 1)
})

/** Guards against the loss of evidence when a busy node reads the last bytes of a server late. */
test('last bytes that are read late do not refute a crash', async (t) => {
  const node = new TestNode()
  const [first, second] = [node.send(['a']), node.send(['b'])]
  node.breakOff([first])
  node.now += 100
  node.watch.dataReceived(second)
  node.breakOff([second])
  await sleep(150)
  t.deepEqual(node.survivals, [])
  t.is(node.crashes.length, 1)
})

test('data right after the report does not refute a crash', (t) => {
  const node = new TestNode()
  node.breakOff([node.send(['a'])])
  node.now += 20
  node.watch.dataReceived(node.send(['b']))
  t.deepEqual(node.survivals, [])
})

test('another start of the same server is another server', (t) => {
  const node = new TestNode()
  const earlier = node.send(['a'])
  const restarted = node.send(['b'], { ...SERVER, startedAt: 9 })
  node.breakOff([earlier])
  node.now += 200
  node.watch.dataReceived(restarted)
  t.deepEqual(node.survivals, [])
  t.deepEqual(node.crashes[0]?.parts, ['a'])
})

/** Guards against the suspicion of requests that were under way when servers were replaced as planned. */
test('the end of a server that has announced it is no crash', (t) => {
  const node = new TestNode()
  node.leaving.add(SERVER.id)
  node.breakOff([node.send(['a']), node.send(['b'])])
  t.deepEqual(node.crashes, [])
})

test('several nodes that see one crash report their own requests', (t) => {
  const nodes = [new TestNode('n1'), new TestNode('n2')]
  for (const [index, node] of nodes.entries()) node.breakOff([node.send([`p${index}`])])
  t.deepEqual(nodes.map(({ crashes }) => crashes[0]?.parts), [['p0'], ['p1']])
})

test('attempts that have ended are no suspects', (t) => {
  const node = new TestNode()
  const cancelled = node.send(['a'])
  node.watch.ended(cancelled)
  node.breakOff([node.send(['b'])])
  t.deepEqual(node.crashes[0]?.parts, ['b'])
})
