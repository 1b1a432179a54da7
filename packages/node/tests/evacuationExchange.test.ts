/** How nodes learn of evacuations and of their end: from the store, and from each other over loopback sockets. */
import { setTimeout as sleep } from 'node:timers/promises'

import test from 'ava'
import type { ExecutionContext } from 'ava'

import { MetadataStore, StoreKey } from '@bluebellhill/platform'
import { StoreMode, StoreStandin } from '@bluebellhill/platform-standin'
import { HttpPool } from '@bluebellhill/services'

import { ForwardMetrics } from '../src/forward/ForwardMetrics.js'
import { PeerLink } from '../src/forward/peers/PeerLink.js'
import { StoreAvailability } from '../src/forward/store/StoreAvailability.js'
import { StoreSync } from '../src/forward/store/StoreSync.js'
import { DEPLOYMENT, silentLog } from './forwardFixture.js'
import { D1, D2, D3, RestrictedNode } from './restrictedNode.js'

const PORTS_FROM = 10_000
const PORT_COUNT = 20_000
const STORE_HOST = '127.0.0.60'
const KEY = `${StoreKey.Evacuations}${D1}`

/** Time after the write of an evacuation from which it must be in force, in milliseconds. */
const EVACUATION_BOUND_MS = 5_000

const clock = (): number => performance.now()
let openCount = 0

interface LinkedNode {
  readonly node: RestrictedNode
  readonly link: PeerLink
  /** Evacuations that were known when another node first had a newer configuration. */
  readonly knownBeforeConfiguration: string[][]
}

const openLink = async (t: ExecutionContext): Promise<LinkedNode> => {
  const host = `127.0.0.${61 + openCount++}`
  const node = new RestrictedNode(clock, undefined, host, `${host}:${PORTS_FROM + process.pid % PORT_COUNT}`)
  const knownBeforeConfiguration: string[][] = []
  const link = new PeerLink({
    ...node,
    startedAt: Date.now(),
    log: silentLog(),
    runningClock: clock,
    schedulersInUse: () => new Set(),
    isStoreLost: () => false,
    onPeerStoreLost: () => {},
    onPlacementMessage: () => {},
    onPeerAhead: () => knownBeforeConfiguration.push(node.fleetState.restrictions.evacuated())
  })
  await link.start()
  t.teardown(() => link.dispose())
  return { node, link, knownBeforeConfiguration }
}

const startStore = async (t: ExecutionContext, { fleetState }: RestrictedNode): Promise<StoreStandin> => {
  const store = new StoreStandin()
  const port = PORTS_FROM + (process.pid + openCount++) % PORT_COUNT
  await store.start(STORE_HOST, port)
  const http = new HttpPool(4)
  const log = silentLog()
  const sync = new StoreSync({
    store: new MetadataStore({ address: `${STORE_HOST}:${port}`, http, timeout: 1_000 }), fleetState, availability: new StoreAvailability(fleetState, log, clock), metrics: new ForwardMetrics(), log, clock, isStoreWatcher: () => true
  })
  sync.start()
  t.teardown(async () => {
    sync.dispose()
    store.dispose()
    await http.dispose()
  })
  return store
}

const isEvacuated = (node: RestrictedNode): boolean => node.fleetState.restrictions.isEvacuated(D1)

/** Waits until a condition holds. Returns false if it does not within the bound on evacuations. */
const becomes = async (condition: () => boolean): Promise<boolean> => {
  const until = clock() + EVACUATION_BOUND_MS
  while (!condition() && clock() < until) await sleep(5)
  return condition()
}

test('an evacuation reaches a node that watches the store and one that does not, and so does its end', async (t) => {
  const watcher = await openLink(t)
  const follower = await openLink(t)
  follower.link.addNodes([watcher.node.self], [])
  const store = await startStore(t, watcher.node)
  store.put(KEY, '{}')
  t.true(await becomes(() => isEvacuated(watcher.node) && isEvacuated(follower.node)))
  store.remove(KEY)
  t.true(await becomes(() => !isEvacuated(watcher.node) && !isEvacuated(follower.node)))
})

test('an evacuation stays in force while the store is out, and a listing at its return shows that it has ended', async (t) => {
  const node = new RestrictedNode(clock)
  const store = await startStore(t, node)
  store.put(KEY, 'a value that is no document')
  t.true(await becomes(() => isEvacuated(node)))
  store.mode = StoreMode.Busy
  store.discardHistory()
  store.remove(KEY)
  await sleep(300)
  t.true(isEvacuated(node))
  store.mode = StoreMode.Serving
  t.true(await becomes(() => !isEvacuated(node)))
})

// Guards against a node that serves before it knows of an evacuation: it gets its configuration from a node of which it has heard.
test('a node that restarts without the store knows the evacuations before it knows where to fetch the configuration', async (t) => {
  const running = await openLink(t)
  running.node.evacuate(D1)
  running.node.fleetState.install({ ...DEPLOYMENT, version: 2 }, 'store')
  const restarted = await openLink(t)
  restarted.link.addNodes([running.node.self], [])
  t.true(await becomes(() => restarted.knownBeforeConfiguration.length > 0))
  t.deepEqual(restarted.knownBeforeConfiguration[0], [D1])
})

// Guards against an evacuation that stays in force at nodes which were cut off from all watchers when it ended.
for (const [name, isReporting] of [['reports', true], ['announces', false]] as const) {
  test(`a node that ${name} an ended evacuation is told so by one that has listed the store since`, async (t) => {
    const behind = await openLink(t)
    const lister = await openLink(t)
    behind.node.fleetState.restrictions.reported({ failureDomains: [D1], revision: 5 })
    lister.node.fleetState.restrictions.listed({ failureDomains: [], revision: 9 })
    const [reporting, reported] = isReporting ? [behind, lister] : [lister, behind]
    reporting.link.addNodes([reported.node.self], [])
    t.true(await becomes(() => !isEvacuated(behind.node)))
    t.false(isEvacuated(lister.node))
  })
}

test('an evacuation that ends reaches nodes with another one, and reports without any contain nothing of them', async (t) => {
  const first = await openLink(t)
  const second = await openLink(t)
  t.is(first.node.fleetState.restrictions.shared(), null)
  second.link.addNodes([first.node.self], [])
  first.node.evacuate(D1, D2)
  t.true(await becomes(() => isEvacuated(second.node)))
  first.node.evacuate(D2, D3)
  t.true(await becomes(() => second.node.fleetState.restrictions.evacuated().join() === 'd2,d3'))
})
