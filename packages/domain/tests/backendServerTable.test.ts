import test from 'ava'
import fc from 'fast-check'

import { BackendServerTable, DepartureCause, EXPIRED_ENTRY_GRACE, Readiness, MIN_EXPIRY_OUTAGE } from '../src/index.js'
import type { RunnerId } from '../src/index.js'
import { server } from './forwardingFixtures.js'

const ID = 'e1' as RunnerId

const tableWith = (...ids: string[]): BackendServerTable => {
  const table = new BackendServerTable()
  ids.forEach((id, index) => table.put({ server: server(id), revision: index + 1 }))
  return table
}

const readyIds = (table: BackendServerTable): string[] => table.ready('s').map(({ id }) => id)

test('an entry that is removed while the store answers is removed at once', (t) => {
  const table = tableWith('e1', 'e2')
  const [change] = table.remove(ID, 5, 100)
  t.like(change, { type: 'departed', cause: DepartureCause.Removed })
  t.deepEqual(readyIds(table), ['e2'])
})

test('an entry that expires in a store outage is kept until the end of the grace period', (t) => {
  const table = tableWith('e1')
  table.storeLost(0)
  t.deepEqual(table.remove(ID, 5, 4_000), [])
  table.storeRegained(5_000)
  t.deepEqual(table.expire(5_000 + EXPIRED_ENTRY_GRACE - 1), [])
  t.deepEqual(readyIds(table), ['e1'])
  t.like(table.expire(5_000 + EXPIRED_ENTRY_GRACE)[0], { type: 'departed', cause: DepartureCause.Expired })
  t.deepEqual(readyIds(table), [])
})

test('an expired entry that is registered again is kept', (t) => {
  const table = tableWith('e1')
  table.storeLost(0)
  table.replaceAll([], 5, 4_000)
  table.storeRegained(4_000)
  table.put({ server: server('e1'), revision: 6 })
  t.deepEqual(table.expire(60_000), [])
  t.deepEqual(readyIds(table), ['e1'])
})

test('an outage too short for entries to expire does not delay removals', (t) => {
  const table = tableWith('e1')
  table.storeLost(0)
  table.storeRegained(MIN_EXPIRY_OUTAGE - 1)
  t.is(table.remove(ID, 5, MIN_EXPIRY_OUTAGE).length, 1)
})

// Guards against all servers vanishing right after an outage, because one more call failed then.
test('a short loss of the store does not end the grace period of the outage before it', (t) => {
  const table = tableWith('e1')
  table.storeLost(0)
  table.storeRegained(9_000)
  t.deepEqual(table.replaceAll([], 5, 9_000), [])
  table.storeLost(9_100)
  table.storeRegained(9_300)
  t.deepEqual(table.expire(9_000 + EXPIRED_ENTRY_GRACE - 1), [])
  t.is(table.expire(9_000 + EXPIRED_ENTRY_GRACE).length, 1)
})

test('an entry that is missing from a peer\'s list is removed even while this node cannot reach the store', (t) => {
  const table = tableWith('e1')
  table.storeLost(0)
  t.is(table.replaceAll([], 5, 4_000, true).length, 1)
  t.deepEqual(readyIds(table), [])
})

test('a draining server gets no new requests', (t) => {
  const table = tableWith('e1')
  const [change] = table.put({ server: server('e1', { readiness: Readiness.Draining }), revision: 9 })
  t.like(change, { type: 'departed', cause: DepartureCause.Draining })
  t.deepEqual(readyIds(table), [])
})

test('an older entry never replaces a newer one', (t) => {
  const table = tableWith('e1')
  table.put({ server: server('e1', { readiness: Readiness.Draining }), revision: 9 })
  t.deepEqual(table.put({ server: server('e1'), revision: 8 }), [])
  t.deepEqual(readyIds(table), [])
})

test('a server that restarts under its id is reported as departed and arrived', (t) => {
  const table = new BackendServerTable()
  table.put({ server: server('e1', { startedAt: 1 }), revision: 1 })
  const changes = table.put({ server: server('e1', { startedAt: 2 }), revision: 2 })
  t.deepEqual(changes.map(({ type }) => type), ['departed', 'arrived'])
})

test('a server at whose address another one answers gets no requests until it restarts', (t) => {
  const table = new BackendServerTable()
  table.put({ server: server('e1', { startedAt: 1 }), revision: 1 })
  t.is(table.markReplaced(ID).length, 1)
  t.deepEqual(table.markReplaced(ID), [])
  t.deepEqual(readyIds(table), [])
  table.put({ server: server('e1', { startedAt: 2 }), revision: 2 })
  t.deepEqual(readyIds(table), ['e1'])
})

test('after any history, exactly the servers of a full list are ready', (t) => {
  const id = fc.constantFrom('e1', 'e2', 'e3')
  const step = fc.oneof(
    fc.record({ type: fc.constant('put' as const), id, draining: fc.boolean() }),
    fc.record({ type: fc.constant('remove' as const), id }),
    fc.record({ type: fc.constantFrom('lost' as const, 'regained' as const) })
  )
  fc.assert(fc.property(fc.array(step, { maxLength: 40 }), fc.uniqueArray(id), (steps, last) => {
    const table = new BackendServerTable()
    let now = 0
    for (const operation of steps) {
      now += 700
      if (operation.type === 'put') table.put({ server: server(operation.id, operation.draining ? { readiness: Readiness.Draining } : {}), revision: now })
      if (operation.type === 'remove') table.remove(operation.id as RunnerId, now, now)
      if (operation.type === 'lost') table.storeLost(now)
      if (operation.type === 'regained') table.storeRegained(now)
    }
    table.storeRegained(now)
    table.replaceAll(last.map((one) => ({ server: server(one), revision: now + 1 })), now + 1, now)
    table.expire(now + EXPIRED_ENTRY_GRACE)
    return readyIds(table).sort().join() === [...last].sort().join()
  }), { seed: 11, numRuns: 500 })
  t.pass()
})

// Guards against incident DRAIN of issue 26: a server that was removed after the store's return stayed in use until the end of the grace period.
test('an entry that is removed after the first answer of a store that has returned is removed at once', (t) => {
  const table = tableWith('a', 'b', 'c')
  table.storeLost(0)
  t.false(table.isRemovedWhileServing(10, 4_000))
  table.storeRegained(5_000)
  t.false(table.isRemovedWhileServing(11, 5_000))
  table.storeAnswered(10)
  table.storeAnswered(12)
  t.false(table.isRemovedWhileServing(10, 5_001))
  t.true(table.isRemovedWhileServing(11, 5_001))
  t.deepEqual(table.remove('a' as RunnerId, 10, 5_001, table.isRemovedWhileServing(10, 5_001)), [])
  t.is(table.remove('b' as RunnerId, 11, 5_001, table.isRemovedWhileServing(11, 5_001))[0]?.type, 'departed')
  table.storeLost(6_000)
  t.false(table.isRemovedWhileServing(12, 6_001))
})
