/** Requests that wait for an engine whose memory is in use, while messages are lost and nodes die, pause or know nothing of waiting. */
import { mock } from 'node:test'

import test from 'ava'

import { AdmissionNetwork, reasonOf, serverOf } from './admissionNetwork.js'
import type { Message, TestNode } from './admissionNetwork.js'
import { engine, SHORT } from './admissionFleet.js'

test.before(() => mock.timers.enable({ apis: ['setTimeout'] }))
test.after.always(() => mock.timers.reset())

const isBetween = (a: TestNode, b: TestNode) => ({ from, to }: Message): boolean => (from === a && to === b) || (from === b && to === a)
const isReply = ({ content }: Message, kind: string): boolean => content.$case === 'placementReply' && content.value.result?.$case === kind

/** Requests that a scheduler counts in its retry budget, in order. */
const countsOf = ({ scheduler }: TestNode): string[] => {
  const counts: string[] = []
  const { count } = scheduler
  scheduler.count = (spec) => counts.push(spec.request) > 0 && count.call(scheduler, spec)
  return counts
}

test.serial('a request waits until the memory is free, and its placement is sent without being asked for', async (t) => {
  const network = new AdmissionNetwork(3)
  const [scheduling, , asking] = network.nodes as [TestNode, TestNode, TestNode]
  const counts = countsOf(scheduling)
  const end = network.occupy()
  const placing = network.place(asking)
  await network.advance(700)
  t.is(scheduling.scheduler.admission.waitingCount, 1)
  t.is(placing.result, null)
  t.is(network.sent(asking, 'placementQuery').length, 4)
  end()
  await network.advance(10)
  t.is(serverOf(placing), 'e0')
  t.is(network.sent(asking, 'placementQuery').length, 4)
  t.deepEqual([network.counted(scheduling), scheduling.scheduler.admission.waitingCount, counts], [1, 0, ['r1']])
})

test.serial('a request of the node that schedules waits too', async (t) => {
  const network = new AdmissionNetwork(1)
  const [node] = network.nodes as [TestNode]
  const end = network.occupy()
  const placing = network.place(node)
  await network.advance(900)
  t.is(placing.result, null)
  end()
  await network.advance(10)
  t.deepEqual([serverOf(placing), network.counted(node)], ['e0', 1])
})

test.serial('a request whose caller would leave before there is memory is refused at once, with the forecast', async (t) => {
  const network = new AdmissionNetwork(2)
  network.occupy(network.nodes, 4_000)
  const placing = network.place(network.nodes[1]!)
  await network.advance(5)
  t.is(reasonOf(placing), 'no_room')
  t.true(placing.result?.type === 'refused' && (placing.result.retryAfter ?? 0) > 2_000)
})

test.serial('a lost queued reply is repeated, and the request waits once', async (t) => {
  const network = new AdmissionNetwork(2)
  const [scheduling, asking] = network.nodes as [TestNode, TestNode]
  let lost = 0
  network.loses = (message) => isReply(message, 'queued') && lost++ === 0
  const end = network.occupy()
  const placing = network.place(asking)
  await network.advance(100)
  t.deepEqual([lost, scheduling.scheduler.admission.waitingCount], [2, 1])
  end()
  await network.advance(10)
  t.is(serverOf(placing), 'e0')
})

// Guards against an answer to a renewal with the stored `queued`, and against a second grant.
test.serial('a lost placement is repeated at the renewal', async (t) => {
  const network = new AdmissionNetwork(2)
  const [scheduling, asking] = network.nodes as [TestNode, TestNode]
  let lost = 0
  network.loses = (message) => isReply(message, 'placement') && lost++ === 0
  const end = network.occupy()
  const placing = network.place(asking)
  await network.advance(250)
  end()
  await network.advance(20)
  t.is(placing.result, null)
  await network.advance(200)
  t.deepEqual([serverOf(placing), network.counted(scheduling), lost], ['e0', 1, 2])
})

test.serial('the scheduler dies: the next one has the request within a renewal period, with the time waited', async (t) => {
  const network = new AdmissionNetwork(3)
  const [scheduling, next, asking] = network.nodes as [TestNode, TestNode, TestNode]
  const counts = [countsOf(scheduling), countsOf(next)]
  const end = network.occupy()
  const placing = network.place(asking, SHORT, true)
  await network.advance(450)
  network.loses = ({ from, to }) => from === scheduling || to === scheduling
  await network.advance(250)
  t.is(next.scheduler.admission.waitingCount, 1)
  const query = network.sent(asking, 'placementQuery').at(-1)
  t.true(query?.to === next && query.content.$case === 'placementQuery' && query.content.value.waitedMs >= 600 && !query.content.value.isFirstAttempt)
  end()
  await network.advance(10)
  t.deepEqual([serverOf(placing), network.counted(next), counts], ['e0', 1, [['r1'], []]])
  await network.advance(700)
  t.is(scheduling.scheduler.admission.waitingCount, 0)
})

test.serial('a node that is cut off decides alone, without queueing', async (t) => {
  const network = new AdmissionNetwork(3)
  const [scheduling, , asking] = network.nodes as [TestNode, TestNode, TestNode]
  network.occupy()
  const placing = network.place(asking)
  await network.advance(50)
  network.loses = ({ from, to }) => from === asking || to === asking
  await network.advance(400)
  t.is(reasonOf(placing), 'no_server')
  await network.advance(600)
  t.is(scheduling.scheduler.admission.waitingCount, 0)
})

// Guards against the fault that a process which was paused acts on what has expired meanwhile.
test.serial('a scheduler that was paused gives no place to a request that went to another one', async (t) => {
  const network = new AdmissionNetwork(3)
  const [scheduling, next, asking] = network.nodes as [TestNode, TestNode, TestNode]
  const endFirst = network.occupy([scheduling])
  const endNext = network.occupy([next])
  const placing = network.place(asking)
  await network.advance(50)
  network.loses = isBetween(scheduling, asking)
  for (; scheduling.paused < 900; scheduling.paused += 100) await network.advance(100)
  t.deepEqual([scheduling, next].map(({ scheduler }) => scheduler.admission.waitingCount), [1, 1])
  endFirst()
  await network.advance(20)
  t.deepEqual([network.sent(scheduling, 'placementReply', 'placement').length, network.counted(scheduling)], [0, 0])
  endNext()
  await network.advance(20)
  t.is(serverOf(placing), 'e0')
})

test.serial('a node that was paused returns a grant that it received meanwhile, and asks again', async (t) => {
  const network = new AdmissionNetwork(2)
  const [scheduling, asking] = network.nodes as [TestNode, TestNode]
  const end = network.occupy()
  const placing = network.place(asking)
  await network.advance(50)
  const grants: Message[] = []
  network.loses = (message) => isReply(message, 'placement') && grants.push(message) === 1
  end()
  await network.advance(20)
  network.now += 5_000
  for (const node of network.nodes) node.paused = 5_000
  network.loses = () => false
  const [{ from, content } = grants[0]!] = grants
  asking.placement.handle({ node: from.self.node, startedAt: 1, content }, from.self.address)
  await network.advance(30)
  t.is(network.sent(asking, 'placementQuery').length, 2)
  t.deepEqual([serverOf(placing), network.counted(scheduling)], ['e0', 1])
})

// Guards against a grant that is booked at the scheduler which did not give it.
test.serial('a placement of the scheduler that was asked before is returned, and the request waits on at the other one', async (t) => {
  const network = new AdmissionNetwork(3)
  const [first, second, asking] = network.nodes as [TestNode, TestNode, TestNode]
  const endFirst = network.occupy([first])
  const endSecond = network.occupy([second])
  const placing = network.place(asking)
  await network.advance(50)
  network.loses = isBetween(first, asking)
  await network.advance(250)
  network.loses = () => false
  endFirst()
  await network.advance(60)
  t.deepEqual([network.sent(first, 'placementReply', 'placement').length, network.counted(first), placing.result], [1, 0, null])
  endSecond()
  await network.advance(20)
  t.is(placing.result?.type === 'placed' && placing.result.attempt.scheduler, second.self.address)
})

test.serial('two schedulers serve the requests that wait at each of them once', async (t) => {
  const network = new AdmissionNetwork(4)
  const [first, second, third, fourth] = network.nodes as [TestNode, TestNode, TestNode, TestNode]
  const end = network.occupy()
  const placings = [third, fourth].map((node) => network.place(node))
  await network.advance(50)
  network.loses = isBetween(first, fourth)
  await network.advance(350)
  t.deepEqual([first, second].map(({ scheduler }) => scheduler.admission.waitingCount), [2, 1])
  end()
  await network.advance(20)
  t.deepEqual(placings.map(serverOf), ['e0', 'e0'])
  await network.advance(700)
  t.deepEqual([network.counted(first), network.counted(second)], [2, 1])
})

test.serial('a caller that leaves frees its place in the queue, and a grant on its way is returned', async (t) => {
  const network = new AdmissionNetwork(2)
  const [scheduling, asking] = network.nodes as [TestNode, TestNode]
  const end = network.occupy()
  const [early, late] = [network.place(asking), network.place(asking)]
  await network.advance(50)
  early.leave()
  await network.advance(30)
  t.deepEqual([reasonOf(early), scheduling.scheduler.admission.waitingCount], ['too_late', 1])
  end()
  scheduling.scheduler.admission.roomFreed()
  mock.timers.tick(10)
  late.leave()
  await network.advance(100)
  t.deepEqual([reasonOf(late), network.counted(scheduling), scheduling.scheduler.admission.waitingCount], ['too_late', 0, 0])
})

test.serial('a request is withdrawn before its deadline, so that its caller gets a refusal', async (t) => {
  const network = new AdmissionNetwork(2)
  const [scheduling, asking] = network.nodes as [TestNode, TestNode]
  network.occupy()
  const placing = network.place(asking, { ...SHORT, timeout: 1_300 })
  await network.advance(1_200)
  t.is(scheduling.scheduler.admission.waitingCount, 1)
  await network.advance(99)
  t.deepEqual([reasonOf(placing), scheduling.scheduler.admission.waitingCount], ['too_late', 0])
})

test.serial('a request that waits is refused as soon as the operator has evacuated all engines', async (t) => {
  const network = new AdmissionNetwork(2)
  const [scheduling, asking] = network.nodes as [TestNode, TestNode]
  network.occupy()
  const placing = network.place(asking)
  await network.advance(50)
  scheduling.fleetState.restrictions.listed({ failureDomains: [engine(0).failureDomain], revision: 1 })
  await network.advance(20)
  t.deepEqual([reasonOf(placing), scheduling.scheduler.admission.waitingCount], ['domains_evacuated', 0])
})

// A node or a scheduler of an earlier build does not know the field.
test.serial('without the field that accepts queueing, a request is refused at once', async (t) => {
  const network = new AdmissionNetwork(2)
  const [scheduling, asking] = network.nodes as [TestNode, TestNode]
  network.changes = (content) => { if (content.$case === 'placementQuery') content.value.acceptsQueueing = false }
  network.occupy()
  const placing = network.place(asking)
  await network.advance(5)
  t.deepEqual([reasonOf(placing), scheduling.scheduler.admission.waitingCount, network.sent(scheduling, 'placementReply', 'queued').length], ['no_server', 0, 0])
})
