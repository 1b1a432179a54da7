import test from 'ava'
import fc from 'fast-check'

import { FleetAssignments, PEER_ASSIGNMENTS_EXPIRY } from '../src/index.js'
import type { Assignment, NodeId, RunnerId } from '../src/index.js'

const PEER = 'n2' as NodeId
const ENGINE = 'e1' as RunnerId

const draft = (sentAt = 0): Omit<Assignment, 'id'> =>
  ({ server: ENGINE, helpers: [], reservations: [], prompt: 5_000, answer: 1_000, prefillTime: 20, sentAt, isPrefilled: false, pauseObjective: 200, dueAt: sentAt + 300, isDeferred: false })

const requestsOn = (assignments: FleetAssignments, now: number): number => assignments.serverLoads(now).get(ENGINE).requests.length

test('a grant is kept although a report that was sent before does not contain it', (t) => {
  const assignments = new FleetAssignments('n1' as NodeId)
  assignments.grant(PEER, draft(), 1, 0)
  assignments.setPeerAssignments(PEER, [], 5)
  t.is(requestsOn(assignments, 5), 1)
  assignments.setPeerAssignments(PEER, [], 600)
  t.is(requestsOn(assignments, 600), 0)
})

test('a grant and the report of the same assignment count once', (t) => {
  const assignments = new FleetAssignments('n1' as NodeId)
  assignments.grant(PEER, draft(), 1, 0)
  assignments.setPeerAssignments(PEER, [{ ...draft(), id: 'n2/1' }], 100)
  t.is(requestsOn(assignments, 100), 1)
  t.is(assignments.serverLoads(100).get(ENGINE).pending.length, 1)
})

test('a grant ends when the peer reports its end, and expires with a peer that is silent', (t) => {
  const assignments = new FleetAssignments('n1' as NodeId)
  assignments.grant(PEER, draft(), 1, 0)
  assignments.grant(PEER, draft(), 2, 0)
  assignments.markGrantedPrefilled(PEER, 1, 10)
  t.is(assignments.serverLoads(10).get(ENGINE).pending.length, 1)
  assignments.endGranted(PEER, 1, 20)
  t.is(requestsOn(assignments, 20), 1)
  t.is(requestsOn(assignments, PEER_ASSIGNMENTS_EXPIRY + 1), 0)
})

test('whatever order grants, reports and ends arrive in, nothing is left of a peer that is removed', (t) => {
  const event = fc.tuple(fc.constantFrom('grant', 'prefilled', 'ended', 'report'), fc.integer({ min: 1, max: 5 }))
  fc.assert(fc.property(fc.array(event, { maxLength: 40 }), (events) => {
    const assignments = new FleetAssignments('n1' as NodeId)
    for (const [now, [type, number]] of events.entries()) {
      if (type === 'grant') assignments.grant(PEER, draft(now), number, now)
      else if (type === 'prefilled') assignments.markGrantedPrefilled(PEER, number, now)
      else if (type === 'ended') assignments.endGranted(PEER, number, now)
      else assignments.setPeerAssignments(PEER, [{ ...draft(now), id: `n2/${number}` }], now)
    }
    assignments.removePeer(PEER, events.length)
    const load = assignments.serverLoads(events.length).get(ENGINE)
    return load.requests.length === 0 && load.pending.length === 0
  }), { seed: 33, numRuns: 500 })
  t.pass()
})
