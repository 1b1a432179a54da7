import test from 'ava'

import { READINESS_PATH, StoreKey } from '@bluebellhill/platform'

import { firstPortOf, Silence, startNodes, startStore, timeUntilKnown } from './silentStore.js'
import type { TestNode } from './silentStore.js'

const readinessOf = async ({ self }: TestNode, firstPort: number): Promise<number> => {
  const [host = ''] = self.address.split(':')
  return (await fetch(`http://${host}:${firstPort + 1}${READINESS_PATH}`)).status
}

// Guards against callers that are sent to a node which knows no backend servers yet and refuses them.
test.serial('a node with a configuration is not ready before it knows the backend servers', async (t) => {
  const firstPort = firstPortOf(0)
  await startStore(t, firstPort)
  const [node] = await startNodes(t, 1, firstPort, Silence.ServerLists) as [TestNode]
  await timeUntilKnown([node], 'configuration.installed', 'version=1')
  t.is(await readinessOf(node, firstPort), 503)
  node.link.silence = null
  await timeUntilKnown([node], 'server.arrived', 'server=old')
  t.is(await readinessOf(node, firstPort), 200)
})

test.serial('a node is ready where the store lists no backend servers', async (t) => {
  const firstPort = firstPortOf(1)
  const store = await startStore(t, firstPort)
  store.remove(`${StoreKey.BackendServers}old`)
  const [node] = await startNodes(t, 1, firstPort) as [TestNode]
  await timeUntilKnown([node], 'configuration.installed', 'version=1')
  await timeUntilKnown([node], 'store.watch_started', 'prefix=servers/')
  t.is(await readinessOf(node, firstPort), 200)
})
