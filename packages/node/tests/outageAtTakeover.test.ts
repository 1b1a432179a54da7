/** Servers whose entries expire while no node reaches the store are kept, also if a node takes over the watch shortly before the store returns. */
import { setTimeout as sleep } from 'node:timers/promises'

import test from 'ava'

import { EXPIRED_ENTRY_GRACE, Readiness } from '@bluebellhill/domain'
import type { BackendServer, FailureDomain, Millis, RunnerId } from '@bluebellhill/domain'
import { StoreKey } from '@bluebellhill/platform'

import { FleetState } from '../src/forward/FleetState.js'
import { silentLog } from './forwardFixture.js'
import { entryOf, firstPortOf, Silence, silenceAfterChange, startNodes, startStore } from './silentStore.js'

const SERVER: BackendServer = {
  id: 'i-1' as RunnerId, service: 's', address: '10.0.0.1:80', failureDomain: 'd1' as FailureDomain, slots: 4, readiness: Readiness.Ready, startedAt: 5
}

/** Length of the outage; pairs of watchers give up one after the other, some 0.6 to 1 s each. */
const OUTAGE: Millis = 1_200
const NODES = 8

/** Time after the store's return after which the server writes its entry again; less than the grace period. */
const REGISTRATION_DELAY: Millis = EXPIRED_ENTRY_GRACE * 3 / 4

test.serial('a server whose entry expires while all nodes have lost the store stays until it registers again', async (t) => {
  const port = firstPortOf(0)
  const store = await startStore(t, port)
  const nodes = await startNodes(t, NODES, port)
  await silenceAfterChange(store, nodes, nodes, Silence.AllCalls)
  const started = performance.now()
  await sleep(OUTAGE / 2)
  store.remove(`${StoreKey.BackendServers}old`)
  await sleep(OUTAGE / 2)
  for (const { link } of nodes) link.silence = null
  const lostAtReturn = nodes.map(({ lines }) => lines.filter((line) => line.includes('store.lost')).length)
  await sleep(REGISTRATION_DELAY)
  const departed = nodes.map(({ lines }) => lines.some((line) => line.includes('server.departed') && line.includes('old')))
  t.log(`store.lost lines by rank at the return: ${lostAtReturn.join()}; departed: ${departed.join()}; outage ${Math.round(performance.now() - started - REGISTRATION_DELAY)} ms`)
  for (const { lines } of nodes) for (const line of lines) if (/store\.(lost|regained|loss_ended|watch_started)|server\.departed/.test(line)) t.log(line.slice(0, 230))
  store.put(`${StoreKey.BackendServers}old`, entryOf('old', false))
  t.false(departed.includes(true))
})

test('a node that lists the store for the first time after an outage of others does not take their servers away', (t) => {
  const clock = (): Millis => 8_100
  const watcher = new FleetState(silentLog(), clock)
  const other = new FleetState(silentLog(), clock)
  for (const state of [watcher, other]) state.replaceServers([{ server: SERVER, revision: 3 }], 5, 'store')
  watcher.servers.storeLost(0)
  watcher.servers.storeRegained(8_000)
  watcher.replaceServers([], 6, 'store')
  // It took over when the first ones had lost the store, and its first call was answered.
  other.replaceServers([], 7, 'store')
  watcher.merge(other.changesSince({ configuration: 0, servers: 6 }))
  t.is(watcher.servers.ready('s').length, 1)
})
