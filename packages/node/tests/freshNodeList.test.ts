/** The first list of a node that has just started says nothing of servers whose entries expired in an outage of the store. */
import test from 'ava'

import { EXPIRED_ENTRY_GRACE, Readiness } from '@bluebellhill/domain'
import type { BackendServer, FailureDomain, Millis, RunnerId } from '@bluebellhill/domain'

import { FleetState } from '../src/forward/FleetState.js'
import { silentLog } from './forwardFixture.js'

const RETURN: Millis = 8_000
const END = RETURN + EXPIRED_ENTRY_GRACE

const SERVER: BackendServer = {
  id: 'i-1' as RunnerId, service: 's', address: '10.0.0.1:80', failureDomain: 'd1' as FailureDomain, slots: 4, readiness: Readiness.Ready, startedAt: 5
}

/** A node that has had the list since before the outage. */
const knowingState = (clock: () => Millis): FleetState => {
  const state = new FleetState(silentLog(), clock)
  state.replaceServers([{ server: SERVER, revision: 3 }], 5, 'store')
  return state
}

/** A node that starts at the store's return; the store has dropped the entry in the outage, and has a later revision by the node's registration. */
const startedState = (clock: () => Millis): FleetState => {
  const state = new FleetState(silentLog(), clock)
  state.replaceServers([], 7, 'store')
  return state
}

test('a watcher that keeps a server over an outage keeps it when a node that has just started lists the store', (t) => {
  const clock = (): Millis => RETURN + 100
  const watcher = knowingState(clock)
  watcher.servers.storeLost(0)
  watcher.servers.storeRegained(RETURN)
  watcher.replaceServers([], 6, 'store')
  t.is(watcher.servers.ready('s').length, 1)
  watcher.merge(startedState(clock).changesSince({ configuration: 0, servers: 6 }))
  t.is(watcher.servers.ready('s').length, 1)
})

test('a node that lost the store too keeps a server when a node that has just started lists the store first', (t) => {
  let now: Millis = RETURN + 100
  const state = knowingState(() => now)
  state.servers.storeLost(0)
  state.merge(startedState(() => now).changesSince({ configuration: 0, servers: 5 }))
  t.is(state.servers.ready('s').length, 1)
  state.servers.storeRegained(now)
  now = END + 100
  state.expireServers()
  t.is(state.servers.ready('s').length, 0)
})
