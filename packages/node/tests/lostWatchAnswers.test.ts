/** How soon a change of the store reaches all nodes if answers of waiting watches were lost. */
import { setTimeout as sleep } from 'node:timers/promises'

import test from 'ava'

import { StoreKey } from '@bluebellhill/platform'

import { entryOf, firstPortOf, GENEROUS_BOUND, putConfiguration, Silence, silenceAfterChange, startNodes, startStore, timeUntilKnown } from './silentStore.js'

// Guards against watches whose answer was lost on the way: their connections stay silent while the store answers all other calls.
test.serial('a server that leaves is known to all nodes in time after the answers of both watches were lost', async (t) => {
  const port = firstPortOf(0)
  const store = await startStore(t, port)
  const nodes = await startNodes(t, 4, port)
  await silenceAfterChange(store, nodes, nodes, Silence.Watches)
  // The answer to this change is lost.
  store.put(`${StoreKey.BackendServers}third`, entryOf('third', false))
  await sleep(100)
  for (const { link } of nodes) link.silence = null
  store.put(`${StoreKey.BackendServers}old`, entryOf('old', true))
  const took = await timeUntilKnown(nodes, 'server.departed', 'old')
  t.log(`${Math.round(took)} ms`)
  t.true(took < GENEROUS_BOUND, `${Math.round(took)} ms`)
})

// The same for the other watch; the change that follows is under the other prefix, so that no later answer of this watch brings it.
test.serial('a configuration is in force on all nodes in time after the answers of both watches were lost', async (t) => {
  const port = firstPortOf(1)
  const store = await startStore(t, port)
  const nodes = await startNodes(t, 4, port)
  await silenceAfterChange(store, nodes, nodes, Silence.Watches)
  putConfiguration(store, 3)
  await sleep(100)
  for (const { link } of nodes) link.silence = null
  const took = await timeUntilKnown(nodes, 'configuration.installed', 'version=3')
  t.log(`${Math.round(took)} ms`)
  t.true(took < GENEROUS_BOUND, `${Math.round(took)} ms`)
})
