/** How soon a change of the store reaches all nodes if open connections to it have gone silent, while new ones work. */
import { setTimeout as sleep } from 'node:timers/promises'

import test from 'ava'
import type { ExecutionContext } from 'ava'

import type { Millis } from '@bluebellhill/domain'
import { StoreKey } from '@bluebellhill/platform'
import type { StoreStandin } from '@bluebellhill/platform-standin'

import { entryOf, firstPortOf, GENEROUS_BOUND, putConfiguration, silenceAfterChange, startNodes, startStore, timeUntilKnown } from './silentStore.js'
import type { TestNode } from './silentStore.js'

/** The users' pages allow reads that may be stale to be seconds old; more than the time in which a change has to be in force. */
const STALE_LAG: Millis = 2 * GENEROUS_BOUND

interface TestFleet {
  readonly store: StoreStandin
  /** In the order in which they watch the store. */
  readonly nodes: readonly TestNode[]
}

const startFleet = async (t: ExecutionContext, slot: number): Promise<TestFleet> => {
  const port = firstPortOf(slot)
  const store = await startStore(t, port)
  store.staleLagMs = STALE_LAG
  const nodes = await startNodes(t, 4, port)
  await silenceAfterChange(store, nodes, [], null)
  return { store, nodes }
}

const silence = (nodes: readonly TestNode[]): void => { for (const { link } of nodes) link.silenceOpen() }

// Guards against a node that takes a stale read for proof that its watches have missed nothing (review/10).
test.serial('a configuration is in force on all nodes in time after all open connections to the store went silent', async (t) => {
  const { store, nodes } = await startFleet(t, 0)
  silence(nodes)
  await sleep(200)
  putConfiguration(store, 3)
  const took = await timeUntilKnown(nodes, 'configuration.installed', 'version=3')
  t.log(`${Math.round(took)} ms`)
  t.true(took < GENEROUS_BOUND, `${Math.round(took)} ms`)
})

// The same for the other watch.
test.serial('a server that leaves is known to all nodes in time after all open connections to the store went silent', async (t) => {
  const { store, nodes } = await startFleet(t, 1)
  silence(nodes)
  await sleep(200)
  store.put(`${StoreKey.BackendServers}old`, entryOf('old', true))
  const took = await timeUntilKnown(nodes, 'server.departed', 'old')
  t.log(`${Math.round(took)} ms`)
  t.true(took < GENEROUS_BOUND, `${Math.round(took)} ms`)
})

// The connections of the calls that are repeated may go silent as well.
test.serial('a configuration is in force on all nodes in time after open connections to the store went silent twice', async (t) => {
  const { store, nodes } = await startFleet(t, 2)
  silence(nodes)
  await sleep(200)
  putConfiguration(store, 3)
  await sleep(500)
  silence(nodes)
  const took = await timeUntilKnown(nodes, 'configuration.installed', 'version=3')
  t.log(`${Math.round(took)} ms`)
  t.true(took < GENEROUS_BOUND, `${Math.round(took)} ms`)
})
