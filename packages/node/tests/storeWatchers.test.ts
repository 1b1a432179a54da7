/** How soon a change of the store reaches all nodes if the store is silent towards those that watch it. */
import test from 'ava'

import { StoreKey } from '@bluebellhill/platform'

import { entryOf, firstPortOf, GENEROUS_BOUND, putConfiguration, Silence, silenceAfterChange, startNodes, startStore, timeUntilKnown } from './silentStore.js'

// Guards against incident DRAIN of issue 26: the store turned away both watchers without an answer, and the other nodes used a leaving server until a watch ended.
test.serial('a server that leaves is known to all nodes in time although the store is silent towards its watchers', async (t) => {
  const port = firstPortOf(0)
  const store = await startStore(t, port)
  const nodes = await startNodes(t, 4, port)
  await silenceAfterChange(store, nodes, nodes.slice(0, 2), Silence.AllCalls)
  store.put(`${StoreKey.BackendServers}old`, entryOf('old', true))
  const took = await timeUntilKnown(nodes, 'server.departed', 'old')
  t.log(`${Math.round(took)} ms`)
  t.true(took < GENEROUS_BOUND, `${Math.round(took)} ms`)
})

// Guards against the same fault for the configuration, which reaches the nodes over the same watchers.
test.serial('a new configuration is in force on all nodes in time although the store is silent towards its watchers', async (t) => {
  const port = firstPortOf(2)
  const store = await startStore(t, port)
  const nodes = await startNodes(t, 4, port)
  await silenceAfterChange(store, nodes, nodes.slice(0, 2), Silence.AllCalls)
  putConfiguration(store, 3)
  const took = await timeUntilKnown(nodes, 'configuration.installed', 'version=3')
  t.log(`${Math.round(took)} ms`)
  t.true(took < GENEROUS_BOUND, `${Math.round(took)} ms`)
})

// Guards against the same fault with more nodes: those that take over are turned away as well, one pair after the other.
test.serial('a server that leaves is known to all nodes in time although the store is silent towards its watchers and those that take over', async (t) => {
  const port = firstPortOf(1)
  const store = await startStore(t, port)
  const nodes = await startNodes(t, 6, port)
  await silenceAfterChange(store, nodes, nodes.slice(0, 4), Silence.AllCalls)
  store.put(`${StoreKey.BackendServers}old`, entryOf('old', true))
  const took = await timeUntilKnown(nodes, 'server.departed', 'old')
  t.log(`${Math.round(took)} ms`)
  t.true(took < GENEROUS_BOUND, `${Math.round(took)} ms`)
})

// Guards against a replica that answers the probe while the store itself, which serves the watches, is silent.
test.serial('a server that leaves is known to all nodes in time although only stale reads of the watchers are answered', async (t) => {
  const port = firstPortOf(3)
  const store = await startStore(t, port)
  const nodes = await startNodes(t, 4, port)
  await silenceAfterChange(store, nodes, nodes.slice(0, 2), Silence.CurrentCalls)
  store.put(`${StoreKey.BackendServers}old`, entryOf('old', true))
  const took = await timeUntilKnown(nodes, 'server.departed', 'old')
  t.log(`${Math.round(took)} ms`)
  t.true(took < GENEROUS_BOUND, `${Math.round(took)} ms`)
})
