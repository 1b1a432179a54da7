import test from 'ava'

import { FleetAssignments, PrefillQueue } from '../src/index.js'
import type { NodeId, RunnerId, Assignment } from '../src/index.js'

const E1 = 'e1' as RunnerId
const E2 = 'e2' as RunnerId
const PEER = 'n2' as NodeId

const assignment = (id: string, prefillTime: number, changes: Partial<Assignment> = {}): Assignment => ({
  id, server: E1, helpers: [], reservations: [], prompt: 1, answer: 1, prefillTime, sentAt: 0, isPrefilled: false, pauseObjective: null, dueAt: 0, ...changes
})

const segment = (id: string, prefillTime: number): Assignment => assignment(id, prefillTime, { helpers: [E2] })

const remainders = (queue: PrefillQueue): Array<[string, number]> => queue.pending().map(({ assignment: { id }, remaining: left }) => [id, left])

test('parts of divided prompts go first, the newest before all, and whole prompts in turn', (t) => {
  const queue = new PrefillQueue(0)
  for (const one of [assignment('first', 100), segment('older', 100), segment('newer', 100), assignment('second', 100)]) queue.add(one, 0)
  t.deepEqual(remainders(queue).map(([id]) => id), ['newer', 'older', 'first', 'second'])
})

test('time reads the first in line', (t) => {
  const queue = new PrefillQueue(0)
  queue.add(assignment('whole', 100), 0)
  queue.add(segment('part', 100), 50)
  queue.advance(120)
  t.deepEqual(remainders(queue), [['part', 30], ['whole', 50]])
})

test('what is overdue counts as nearly read', (t) => {
  const queue = new PrefillQueue(0)
  queue.add(assignment('whole', 100), 0)
  queue.advance(500)
  t.deepEqual(remainders(queue), [['whole', 10]])
})

test('the account adds up the work of all nodes', (t) => {
  const account = new FleetAssignments('n1' as NodeId)
  account.start(assignment('', 40))
  account.setPeerAssignments(PEER, [assignment('n2/1', 60, { server: E2, helpers: [E1] })], 0)
  const works = account.serverLoads(0)
  t.deepEqual(works.get(E1).pending.map(({ remaining: left }) => left), [60, 40])
  t.is(works.get(E1).requests.length, 1)
  t.is(works.get(E2).requests.length, 1)
})

test('a prompt that is read frees its helpers', (t) => {
  const account = new FleetAssignments('n1' as NodeId)
  const peers = assignment('n2/1', 600, { server: E2, helpers: [E1] })
  account.setPeerAssignments(PEER, [peers], 0)
  account.setPeerAssignments(PEER, [{ ...peers, isPrefilled: true, helpers: [] }], 10)
  const works = account.serverLoads(10)
  t.deepEqual(works.get(E1).pending, [])
  t.is(works.get(E2).requests.length, 1)
})

test('the work of a silent peer is forgotten', (t) => {
  const account = new FleetAssignments('n1' as NodeId)
  account.setPeerAssignments(PEER, [assignment('n2/1', 60)], 0)
  t.is(account.serverLoads(1_500).get(E1).requests.length, 1)
  t.is(account.serverLoads(1_501).get(E1).requests.length, 0)
})
