import test from 'ava'

import { BackendServerTable } from '../src/forwarding/BackendServerTable.js'
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
