import test from 'ava'
import * as fc from 'fast-check'

import { Readiness, ServerNotices } from '../src/index.js'
import type { BackendServer, FailureDomain, NodeId, RunnerId, ServerNotice } from '../src/index.js'

const SERVER: BackendServer = { id: 'e0' as RunnerId, service: 's', address: '10.0.0.1:80', failureDomain: 'd0' as FailureDomain, slots: 4, readiness: Readiness.Ready, startedAt: 100 }

const notice = (heardAt: number, requestLimit: number | null, startedAt: number | null = 100): ServerNotice =>
  ({ server: SERVER.id, startedAt, heardAt, requestLimit, isLeaving: false, heardBy: 'n0' as NodeId })

test('the newest statement holds, in whatever order statements arrive', (t) => {
  const statement = fc.record({ heardAt: fc.integer({ min: 0, max: 50 }), requestLimit: fc.option(fc.integer({ min: 1, max: 9 }), { nil: null }) })
  const distinct = fc.uniqueArray(statement, { selector: ({ heardAt }) => heardAt, minLength: 1, maxLength: 8 })
  t.notThrows(() => fc.assert(fc.property(distinct, (statements) => {
    const notices = new ServerNotices()
    for (const { heardAt, requestLimit } of statements) notices.record(notice(heardAt, requestLimit))
    const newest = statements.reduce((a, b) => a.heardAt > b.heardAt ? a : b)
    return (notices.find(SERVER)?.requestLimit ?? null) === newest.requestLimit
  }), { seed: 22, numRuns: 300 }))
})

test('a withdrawn limit does not return with an older report of another node', (t) => {
  const notices = new ServerNotices()
  notices.record(notice(10, 2))
  t.true(notices.record(notice(20, null)))
  t.false(notices.record(notice(15, 2)))
  t.is(notices.find(SERVER)?.requestLimit, null)
})

test('a server that restarts is not bound by what it stated before', (t) => {
  const notices = new ServerNotices()
  notices.record(notice(10, 2))
  const restarted = { ...SERVER, startedAt: 200 }
  t.is(notices.find(restarted), null)
  notices.record(notice(20, 3, 200))
  t.false(notices.record(notice(30, 2, 100)))
  t.is(notices.find(restarted)?.requestLimit, 3)
})

test('a statement holds for a server whose start time is not known yet', (t) => {
  const notices = new ServerNotices()
  notices.record(notice(10, 2, null))
  t.is(notices.find(SERVER)?.requestLimit, 2)
})

test('only statements that matter to other nodes at once are reported as such', (t) => {
  const notices = new ServerNotices()
  t.false(notices.record(notice(0, null)))
  t.true(notices.record(notice(1, 2)))
  t.false(notices.record(notice(2, 2.1)))
  t.true(notices.record(notice(3, 4)))
  t.true(notices.record(notice(4, null)))
})

test('statements that no answer confirms any more expire', (t) => {
  const notices = new ServerNotices()
  notices.record(notice(0, 2))
  t.is(notices.shared(500_000).length, 1)
  t.is(notices.shared(700_000).length, 0)
})

test('a server that leaves stays so, in whatever order its answers arrive, until it starts again', (t) => {
  const leaving = { ...notice(10, null), isLeaving: true }
  const inOrder = new ServerNotices()
  t.true(inOrder.record(leaving))
  t.false(inOrder.record(notice(20, null)))
  t.true(inOrder.isLeaving(SERVER))
  const reversed = new ServerNotices()
  reversed.record(notice(20, null))
  t.true(reversed.record(leaving))
  t.true(reversed.isLeaving(SERVER))
  t.is(reversed.shared(20).length, 1)
  t.false(reversed.isLeaving({ ...SERVER, startedAt: 200 }))
})
