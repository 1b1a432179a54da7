/** Nodes tell each other for how long servers are kept whose entries expired in an outage of the store. */
import { once } from 'node:events'
import { createServer } from 'node:net'
import type { AddressInfo } from 'node:net'
import { gunzipSync } from 'node:zlib'

import test from 'ava'

import { EXPIRED_ENTRY_GRACE, Readiness } from '@bluebellhill/domain'
import type { BackendServer, FailureDomain, Millis, RunnerId } from '@bluebellhill/domain'
import { HttpPool, readBody } from '@bluebellhill/services'

import { FleetState } from '../src/forward/FleetState.js'
import { ForwardMetrics } from '../src/forward/ForwardMetrics.js'
import { FleetStateExchange } from '../src/forward/peers/FleetStateExchange.js'
import { decodeSnapshot, encodeSnapshot } from '../src/forward/peers/snapshotCodec.js'
import { silentLog } from './forwardFixture.js'

const HOST = '127.0.0.30'
const RETURN: Millis = 5_000
const END = RETURN + EXPIRED_ENTRY_GRACE

const SERVER: BackendServer = {
  id: 'i-1' as RunnerId, service: 's', address: '10.0.0.1:80', failureDomain: 'd1' as FailureDomain, slots: 4, readiness: Readiness.Ready, startedAt: 5
}

/** A node for which the store returns without the entry of the server. */
const keepingState = (clock: () => Millis): FleetState => {
  const state = new FleetState(silentLog(), clock)
  state.replaceServers([{ server: SERVER, revision: 3 }], 5, 'store')
  state.servers.storeLost(0)
  state.servers.storeRegained(RETURN)
  state.replaceServers([], 6, 'store')
  return state
}

const freePort = async (): Promise<number> => {
  const server = createServer().listen(0, HOST)
  await once(server, 'listening')
  const { port } = server.address() as AddressInfo
  server.close()
  await once(server, 'close')
  return port
}

test('the time for which a server is kept is sent with its entry', (t) => {
  let now = RETURN
  const source = keepingState(() => now)
  now = END - 100
  const sent = decodeSnapshot(Buffer.from(encodeSnapshot(source.changesSince({ configuration: 0, servers: 5 }))), { era: 0, isKeyRequired: false })
  if (!sent.ok) throw new Error('unusable snapshot')
  const copy = new FleetState(silentLog(), () => now)
  copy.merge(sent.value)
  t.is(copy.servers.ready('s').length, 1)
  now = END
  copy.expireServers()
  t.is(copy.servers.ready('s').length, 0)
})

test('a server that is kept while the store is away has no such time', (t) => {
  const source = new FleetState(silentLog(), () => 0)
  source.replaceServers([{ server: SERVER, revision: 3 }], 5, 'store')
  source.servers.storeLost(0)
  source.replaceServers([], 6, 'store')
  const sent = decodeSnapshot(Buffer.from(encodeSnapshot(source.changesSince({ configuration: 0, servers: 5 }))), { era: 0, isKeyRequired: false })
  t.deepEqual(sent.ok && sent.value.servers?.listed, [{ server: SERVER, revision: 3, isLapsed: true }])
})

// Guards against an answer that was made for one node and is sent to another one later.
test('nodes that ask one after the other get the time that is left', async (t) => {
  let now = RETURN
  const http = new HttpPool(1)
  const fleetState = keepingState(() => now)
  const exchange = new FleetStateExchange({ fleetState, http, log: silentLog(), metrics: new ForwardMetrics(), clock: () => now, failureDomain: 'd1', peers: () => [], onRelayed: () => {} })
  const port = await freePort()
  await exchange.start(HOST, port)
  t.teardown(async () => {
    exchange.dispose()
    await http.dispose()
  })
  const kept: (number | undefined)[] = []
  for (now of [RETURN, END - 100]) {
    const answer = await http.send({ address: `${HOST}:${port}`, method: 'GET', path: '/knowledge?configuration=0&servers=5&era=0&changes=1' })
    const body = answer.ok ? await readBody(answer.value, 1_000_000) : answer
    const snapshot = body.ok ? decodeSnapshot(gunzipSync(body.value), { era: 0, isKeyRequired: false }) : body
    if (snapshot.ok) kept.push(snapshot.value.servers?.listed[0]?.keptFor)
  }
  t.deepEqual(kept, [EXPIRED_ENTRY_GRACE, 100])
})

// Guards against requests to a server that is gone: while the store turns only some nodes away, what the others list is missing because it was removed.
test('a node that has lost the store drops a server that is missing from the first list of a node that the store serves', (t) => {
  const cutOff = new FleetState(silentLog(), () => 100)
  cutOff.replaceServers([{ server: SERVER, revision: 3 }], 5, 'store')
  cutOff.servers.storeLost(0)
  const served = new FleetState(silentLog(), () => 100)
  served.replaceServers([], 6, 'store')
  const sent = decodeSnapshot(Buffer.from(encodeSnapshot(served.changesSince({ configuration: 0, servers: 5 }))), { era: 0, isKeyRequired: false })
  if (!sent.ok) throw new Error('unusable snapshot')
  cutOff.merge(sent.value)
  t.deepEqual(cutOff.servers.ready('s'), [])
})
