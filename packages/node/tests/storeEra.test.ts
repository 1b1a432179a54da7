/** The store comes back from a copy that lacks its last changes: nodes keep what they know until it is written again. */
import { setTimeout as sleep } from 'node:timers/promises'

import test from 'ava'
import type { ExecutionContext } from 'ava'

import { MetadataStore, StoreKey } from '@bluebellhill/platform'
import { configurationDocument, serverDocument, StoreStandin } from '@bluebellhill/platform-standin'
import type { RouteDocument } from '@bluebellhill/platform-standin'
import { HttpPool } from '@bluebellhill/services'

import { FleetState } from '../src/forward/FleetState.js'
import { ForwardMetrics } from '../src/forward/ForwardMetrics.js'
import { StoreAvailability } from '../src/forward/store/StoreAvailability.js'
import { StoreSync } from '../src/forward/store/StoreSync.js'
import { silentLog } from './forwardFixture.js'

const HOST = '127.0.0.20'
const PORTS_FROM = 21_000
const PORT_COUNT = 8_000
let portOffset = 0

const SERVICE = 'app'
const ROUTE: RouteDocument = { name: 'safe', host: 'a.example', prefix: '/safe/', kind: 'safe', service: SERVICE, timeoutMs: 5_000, resumable: false }

interface StoreFixture {
  readonly store: StoreStandin
  readonly fleetState: FleetState
  readonly readyServers: () => string[]
  readonly writeServer: (id: string, isDraining?: boolean) => void
  readonly writeConfiguration: (version: number) => void
}

const startStore = async (t: ExecutionContext): Promise<StoreFixture> => {
  const store = new StoreStandin()
  const port = PORTS_FROM + (process.pid + portOffset++) % PORT_COUNT
  await store.start(HOST, port)
  const http = new HttpPool(4)
  const clock = (): number => performance.now()
  const log = silentLog()
  const fleetState = new FleetState(log, clock)
  const sync = new StoreSync({
    store: new MetadataStore({ address: `${HOST}:${port}`, http, timeout: 1_000 }),
    fleetState,
    availability: new StoreAvailability(fleetState, log, clock),
    metrics: new ForwardMetrics(),
    log,
    clock,
    isStoreWatcher: () => true
  })
  const expiry = setInterval(() => fleetState.expireServers(), 50)
  sync.start()
  t.teardown(async () => {
    clearInterval(expiry)
    sync.dispose()
    store.dispose()
    await http.dispose()
  })
  return {
    store,
    fleetState,
    readyServers: () => fleetState.servers.ready(SERVICE).map(({ id }) => String(id)).sort(),
    writeServer: (id, isDraining = false) => store.put(`${StoreKey.BackendServers}${id}`, serverDocument({ service: SERVICE, address: `10.0.0.1:${id.length}`, failureDomain: 'd0', isDraining, startedAt: 1 })),
    writeConfiguration: (version) => store.put(StoreKey.Configuration, configurationDocument({ version, routes: [ROUTE], services: [{ name: SERVICE, isEngine: false }], apiKeys: ['k'] }))
  }
}

/** Waits for a condition, with a generous limit. */
const until = async (condition: () => boolean): Promise<void> => {
  const limit = performance.now() + 10_000
  while (!condition() && performance.now() < limit) await sleep(5)
}

/** Guards against a list of the copy that is taken for an old one, because its revisions are lower than those known. */
test('a server that registers after the return of the store is used, although its revision was given out before', async (t) => {
  const { store, readyServers, writeServer } = await startStore(t)
  writeServer('a')
  const copy = store.copy()
  for (const id of ['b', 'c', 'd']) writeServer(id)
  await until(() => readyServers().length === 4)
  store.restore(copy)
  writeServer('e')
  await until(() => readyServers().includes('e'))
  t.true(readyServers().includes('e'))
})

test('a server that left after the copy is not used again, unless it writes its entry anew', async (t) => {
  const { store, readyServers, writeServer } = await startStore(t)
  for (const id of ['a', 'b', 'c']) writeServer(id)
  await until(() => readyServers().length === 3)
  const copy = store.copy()
  writeServer('a', true)
  store.remove(`${StoreKey.BackendServers}b`)
  writeServer('d')
  await until(() => readyServers().join() === 'c,d')
  const used = new Set<string>()
  const watch = setInterval(() => { for (const id of readyServers()) used.add(id) }, 5)
  t.teardown(() => clearInterval(watch))
  store.restore(copy)
  await sleep(500)
  t.deepEqual(readyServers(), ['c', 'd'])
  t.deepEqual([...used].sort(), ['c', 'd'])
  writeServer('a', true)
  writeServer('b')
  writeServer('d')
  await until(() => readyServers().join() === 'b,c,d')
  t.deepEqual(readyServers(), ['b', 'c', 'd'])
  t.false(used.has('a'))
})

test('a server that is not written again within the grace period is gone', async (t) => {
  const { store, readyServers, writeServer } = await startStore(t)
  writeServer('a')
  const copy = store.copy()
  writeServer('b')
  await until(() => readyServers().join() === 'a,b')
  store.restore(copy)
  await until(() => readyServers().join() === 'a')
  t.deepEqual(readyServers(), ['a'])
})

test('the configuration in force stays until a newer one is written, and that one is installed', async (t) => {
  const { store, fleetState, writeConfiguration } = await startStore(t)
  writeConfiguration(3)
  const copy = store.copy()
  for (const version of [5, 6, 8]) writeConfiguration(version)
  await until(() => fleetState.configurationVersion === 8)
  const versions: number[] = []
  fleetState.onChange(() => versions.push(fleetState.configurationVersion))
  store.restore(copy)
  await sleep(300)
  t.is(fleetState.configurationVersion, 8)
  writeConfiguration(8)
  writeConfiguration(9)
  await until(() => fleetState.configurationVersion === 9)
  t.is(fleetState.configurationVersion, 9)
  t.true(versions.every((version) => version >= 8))
})

test('several returns in a row lead to what was written last', async (t) => {
  const { store, readyServers, writeServer } = await startStore(t)
  writeServer('a')
  const first = store.copy()
  writeServer('b')
  const second = store.copy()
  writeServer('c')
  await until(() => readyServers().join() === 'a,b,c')
  store.restore(second)
  await sleep(50)
  store.restore(first)
  await sleep(50)
  for (const id of ['b', 'd']) writeServer(id)
  await until(() => readyServers().join() === 'a,b,d')
  t.deepEqual(readyServers(), ['a', 'b', 'd'])
})
