import test from 'ava'

import { FleetAssignments, PrefillQueue } from '../src/index.js'
import type { NodeId, RunnerId, Assignment } from '../src/index.js'

const E1 = 'e1' as RunnerId
const E2 = 'e2' as RunnerId
const PEER = 'n2' as NodeId

const assignment = (id: string, prefillTime: number, changes: Partial<Assignment> = {}): Assignment => ({
  id, server: E1, helpers: [], reservations: [], prompt: 1, answer: 1, prefillTime, sentAt: 0, isPrefilled: false, pauseObjective: null, dueAt: 0, isDeferred: false, ...changes
})

const segment = (id: string, prefillTime: number): Assignment => assignment(id, prefillTime, { helpers: [E2] })

const remainders = (queue: PrefillQueue): Array<[string, number]> => queue.pending().map(({ assignment: { id }, remaining }) => [id, remaining])

test('segments come before whole prompts, the newest first, and whole prompts in order of arrival', (t) => {
  const queue = new PrefillQueue(0)
  for (const one of [assignment('first', 100), segment('older', 100), segment('newer', 100), assignment('second', 100)]) queue.add(one, 0)
  t.deepEqual(remainders(queue).map(([id]) => id), ['newer', 'older', 'first', 'second'])
})

test('elapsed time is deducted from the first pending prefill', (t) => {
  const queue = new PrefillQueue(0)
  queue.add(assignment('whole', 100), 0)
  queue.add(segment('part', 100), 50)
  queue.advance(120)
  t.deepEqual(remainders(queue), [['part', 30], ['whole', 50]])
})

test('an overdue prefill counts as almost done', (t) => {
  const queue = new PrefillQueue(0)
  queue.add(assignment('whole', 100), 0)
  queue.advance(500)
  t.deepEqual(remainders(queue), [['whole', 10]])
})

test('server loads sum up the assignments of all nodes', (t) => {
  const assignments = new FleetAssignments('n1' as NodeId)
  assignments.start(assignment('', 40))
  assignments.setPeerAssignments(PEER, [assignment('n2/1', 60, { server: E2, helpers: [E1] })], 0)
  const loads = assignments.serverLoads(0)
  t.deepEqual(loads.get(E1).pending.map(({ remaining }) => remaining), [60, 40])
  t.is(loads.get(E1).requests.length, 1)
  t.is(loads.get(E2).requests.length, 1)
})

test('a prefilled prompt no longer counts as load of its helpers', (t) => {
  const assignments = new FleetAssignments('n1' as NodeId)
  const peerAssignment = assignment('n2/1', 600, { server: E2, helpers: [E1] })
  assignments.setPeerAssignments(PEER, [peerAssignment], 0)
  assignments.setPeerAssignments(PEER, [{ ...peerAssignment, isPrefilled: true, helpers: [] }], 10)
  const loads = assignments.serverLoads(10)
  t.deepEqual(loads.get(E1).pending, [])
  t.is(loads.get(E2).requests.length, 1)
})

test('assignments of a peer that stops reporting expire', (t) => {
  const assignments = new FleetAssignments('n1' as NodeId)
  assignments.setPeerAssignments(PEER, [assignment('n2/1', 60)], 0)
  t.is(assignments.serverLoads(1_500).get(E1).requests.length, 1)
  t.is(assignments.serverLoads(1_501).get(E1).requests.length, 0)
})
