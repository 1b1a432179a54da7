import test from 'ava'

import { BackendServerTable, EXPIRED_ENTRY_GRACE } from '../src/forwarding/BackendServerTable.js'
import { Readiness } from '../src/forwarding/types.js'
import type { BackendServer } from '../src/forwarding/types.js'
import type { FailureDomain, RunnerId } from '../src/types.js'

const server = (id: string): BackendServer => ({ id: id as RunnerId, service: 's', address: '10.0.0.1:80', failureDomain: 'd1' as FailureDomain, slots: 4, readiness: Readiness.Ready, startedAt: 5 })

// Guards against a server that gets requests again after it has left, because a node that had lost the store still keeps it.
test('a removed server does not return with the list of a node that keeps it over an outage', (t) => {
  const table = new BackendServerTable()
  table.replaceAll([{ server: server('e1'), revision: 1 }, { server: server('e2'), revision: 2 }], 2, 0)
  table.remove('e1' as RunnerId, 3, 100)
  t.deepEqual(table.replaceAll([{ server: server('e1'), revision: 1, isLapsed: true }], 4, 200, true, ['e2' as RunnerId]), [])
  t.true(table.hasLeft('e1' as RunnerId))
})

// The other side: a node that has not heard of the removal keeps the server as the other node does.
test('a server that another node keeps over an outage is kept', (t) => {
  const table = new BackendServerTable()
  table.replaceAll([{ server: server('e1'), revision: 1 }], 1, 0)
  t.deepEqual(table.replaceAll([{ server: server('e1'), revision: 1, isLapsed: true }], 4, 200, true), [])
  t.false(table.hasLeft('e1' as RunnerId))
})

const START = 5_000

/** A node for which the store returns at `START`, without the entry of the server. */
const keepingTable = (): BackendServerTable => {
  const table = new BackendServerTable()
  table.replaceAll([{ server: server('e1'), revision: 1 }], 1, 0)
  table.storeLost(0)
  table.storeRegained(START)
  table.replaceAll([], 4, START)
  return table
}

/** Another node that gets the list of the first one. */
const tableOf = (source: BackendServerTable, now: number): BackendServerTable => {
  const table = new BackendServerTable()
  table.replaceAll(source.entries(now), 4, now, true)
  return table
}

// Guards against a server that is kept by one node after the other, each for the whole grace period from the time at which it gets the list.
test('a server that is kept over an outage is kept by all nodes until the same time', (t) => {
  const end = START + EXPIRED_ENTRY_GRACE
  const first = keepingTable()
  const second = tableOf(first, START + 1_000)
  const third = tableOf(second, end - 100)
  for (const table of [first, second, third]) {
    t.deepEqual(table.expire(end - 1), [])
    t.is(table.expire(end)[0]?.type, 'departed')
  }
})

test('a node that has lost the store keeps a server as long as the node from which it has the list', (t) => {
  const table = tableOf(keepingTable(), START)
  table.storeLost(START)
  t.is(table.expire(START + EXPIRED_ENTRY_GRACE)[0]?.type, 'departed')
})

test('a node that does not say for how long it keeps a server is taken to begin with it', (t) => {
  const table = new BackendServerTable()
  table.replaceAll([{ server: server('e1'), revision: 1, isLapsed: true }], 4, START, true)
  t.deepEqual(table.expire(START + EXPIRED_ENTRY_GRACE - 1), [])
  t.is(table.expire(START + EXPIRED_ENTRY_GRACE)[0]?.type, 'departed')
})

test('a list that keeps a server does not delay other removals', (t) => {
  const table = tableOf(keepingTable(), START)
  table.put({ server: server('e2'), revision: 5 })
  t.is(table.remove('e2' as RunnerId, 6, START + 1)[0]?.type, 'departed')
})

// Guards against a node that takes over the watch of the store right after an outage, and drops what the others keep.
test('a node that lists the store itself keeps a server as long as the node from which it had the list', (t) => {
  const table = tableOf(keepingTable(), START + 500)
  t.deepEqual(table.replaceAll([], 6, START + 600), [])
  t.deepEqual(table.expire(START + EXPIRED_ENTRY_GRACE - 1), [])
  t.is(table.expire(START + EXPIRED_ENTRY_GRACE)[0]?.type, 'departed')
})

test('a server that another node keeps is gone once a further one has seen its removal', (t) => {
  const table = tableOf(keepingTable(), START + 500)
  t.is(table.replaceAll([], 6, START + 600, true)[0]?.type, 'departed')
})
