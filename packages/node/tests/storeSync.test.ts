import { setImmediate as nextTurn, setTimeout as sleep } from 'node:timers/promises'

import test from 'ava'
import type { ExecutionContext } from 'ava'

import { MAX_ANSWER_DELAY, MIN_EXPIRY_OUTAGE } from '@bluebellhill/domain'
import { MetadataStore, StoreKey } from '@bluebellhill/platform'
import type { StoreChange, StoreChanges, StoreItem, StorePage } from '@bluebellhill/platform'
import { failed, HttpPool, success } from '@bluebellhill/services'
import type { CallFailure, Result } from '@bluebellhill/services'

import { FleetState } from '../src/forward/FleetState.js'
import { ForwardMetrics } from '../src/forward/ForwardMetrics.js'
import { StoreAvailability } from '../src/forward/store/StoreAvailability.js'
import { StoreSync } from '../src/forward/store/StoreSync.js'
import { silentLog } from './forwardFixture.js'

const DOWN: CallFailure = { type: 'interrupted', reason: 'down' }
const GONE: CallFailure = { type: 'rejected', status: 410, code: 'gone', retryAfter: null, reason: 'gone' }

/** Simulates a store in memory that can be unavailable, stop answering, or lose its history. */
class MemoryStore extends MetadataStore {
  readonly items = new Map<string, StoreItem>()
  changes: StoreChange[] = []
  revision = 1
  isDown = false
  compactedRevision = 0
  listCount = 0
  /** Number of watches that returned changes. */
  deliveryCount = 0
  isSilent = false
  /** Whether the answers of watches are lost that wait for long. */
  losesAnswers = false
  /** While the store is down, a watch of this prefix fails only when the promise is resolved; the others fail at once. */
  lateFailure: { readonly prefix: string, readonly released: Promise<void> } | null = null
  readonly watchWaits: number[] = []
  readonly watchedPrefixes: string[] = []

  constructor () {
    super({ address: '127.0.0.1:1', http: new HttpPool(1), timeout: 1 })
  }

  set (key: string, value: string | null): void {
    this.revision += 1
    const bytes = value === null ? null : Buffer.from(value)
    if (bytes === null) this.items.delete(key)
    else this.items.set(key, { key, value: bytes, revision: this.revision })
    this.changes.push({ key, value: bytes, revision: this.revision })
  }

  compactHistory (): void {
    this.compactedRevision = this.revision
    this.changes = []
  }

  override async range (prefix: string): Promise<Result<StorePage, CallFailure>> {
    if (this.isDown) return failed(DOWN)
    this.listCount += 1
    const items = [...this.items.values()].filter(({ key }) => key.startsWith(prefix))
    return success({ items, hasMore: false, revision: this.revision })
  }

  override async watch (prefix: string, after: number, wait: number, signal: AbortSignal): Promise<Result<StoreChanges, CallFailure>> {
    this.watchWaits.push(wait)
    this.watchedPrefixes.push(prefix)
    const isLost = (): boolean => this.isSilent || (this.losesAnswers && wait > 1)
    for (let turn = 0; (turn < Math.min(50, wait) || isLost()) && !signal.aborted; turn += 1) {
      if (isLost()) {
        await sleep(5)
        continue
      }
      if (this.isDown) return await this.#fail(prefix)
      if (after < this.compactedRevision) return failed(GONE)
      const changes = this.changes.filter(({ key, revision }) => key.startsWith(prefix) && revision > after)
      if (changes.length > 0) {
        this.deliveryCount += 1
        return success({ changes, revision: this.revision })
      }
      await sleep(5)
    }
    return signal.aborted ? failed(DOWN) : success({ changes: [], revision: after })
  }

  async #fail (prefix: string): Promise<Result<never, CallFailure>> {
    if (prefix !== this.lateFailure?.prefix) return failed(DOWN)
    await this.lateFailure.released
    return failed(DOWN)
  }
}

const entry = (state = 'ready'): string => JSON.stringify({ service: 's', address: '10.0.0.1:80', zone: 'd1', slots: 4, state })
const key = (id: string): string => `${StoreKey.BackendServers}${id}`

const start = (t: ExecutionContext, store: MemoryStore, isStoreWatcher: () => boolean = () => true, onLost = (): void => {}): { fleetState: FleetState, availability: StoreAvailability, sync: StoreSync } => {
  const clock = (): number => performance.now()
  const fleetState = new FleetState(silentLog(), clock)
  const availability = new StoreAvailability(fleetState, silentLog(), clock, onLost)
  const sync = new StoreSync({ store, fleetState, availability, metrics: new ForwardMetrics(), log: silentLog(), clock, isStoreWatcher })
  sync.start()
  t.teardown(() => sync.dispose())
  return { fleetState, availability, sync }
}

const startSync = (t: ExecutionContext, store: MemoryStore): FleetState => start(t, store).fleetState

const eventually = async (condition: () => boolean): Promise<boolean> => {
  const until = performance.now() + 10_000
  while (!condition() && performance.now() < until) await sleep(5)
  return condition()
}

const readyServers = (fleetState: FleetState): string => fleetState.servers.ready('s').map(({ id }) => id).sort().join()

test('added, draining and removed entries are applied', async (t) => {
  const store = new MemoryStore()
  store.set(key('e1'), entry())
  const fleetState = startSync(t, store)
  t.true(await eventually(() => readyServers(fleetState) === 'e1'))
  store.set(key('e2'), entry())
  store.set(key('e1'), entry('draining'))
  t.true(await eventually(() => readyServers(fleetState) === 'e2'))
  store.set(key('e2'), null)
  t.true(await eventually(() => readyServers(fleetState) === ''))
})

test('all entries are listed again after the store has lost its history', async (t) => {
  const store = new MemoryStore()
  store.set(key('e1'), entry())
  const fleetState = startSync(t, store)
  t.true(await eventually(() => readyServers(fleetState) === 'e1'))
  store.set(key('e2'), entry())
  store.set(key('e1'), null)
  store.compactHistory()
  t.true(await eventually(() => readyServers(fleetState) === 'e2'))
  t.true(store.listCount > 2)
})

test('an invalid entry does not affect others, and an entry that becomes invalid removes its server', async (t) => {
  const store = new MemoryStore()
  store.set(key('e1'), entry())
  store.set(key('e2'), '{"service":"s","addr')
  const fleetState = startSync(t, store)
  t.true(await eventually(() => readyServers(fleetState) === 'e1'))
  store.set(key('e1'), '\u0000\u0001')
  t.true(await eventually(() => readyServers(fleetState) === ''))
})

test('changes made while the store was unavailable are applied later', async (t) => {
  const store = new MemoryStore()
  store.set(key('e1'), entry())
  const fleetState = startSync(t, store)
  t.true(await eventually(() => readyServers(fleetState) === 'e1'))
  store.isDown = true
  await sleep(50)
  t.is(readyServers(fleetState), 'e1')
  store.set(key('e2'), entry())
  store.isDown = false
  t.true(await eventually(() => readyServers(fleetState) === 'e1,e2'))
})

test('an invalid configuration does not replace the one in force, and a later valid one does', async (t) => {
  const store = new MemoryStore()
  const configuration = (version: number): string => JSON.stringify({
    version, routes: [], services: [], limits: { max_header_bytes: 1, max_body_bytes: 1, header_timeout_ms: 1, idle_timeout_ms: 1 }, tenants: []
  })
  store.set(StoreKey.Configuration, configuration(3))
  const fleetState = startSync(t, store)
  t.true(await eventually(() => fleetState.configurationVersion === 3))
  store.set(StoreKey.Configuration, '{')
  store.set(StoreKey.Configuration, configuration(2))
  store.set(StoreKey.Configuration, configuration(9))
  t.true(await eventually(() => fleetState.configurationVersion === 9))
})

test('a node that is no store watcher makes no calls, and misses nothing when it becomes one', async (t) => {
  const store = new MemoryStore()
  let isStoreWatcher = false
  const { fleetState } = start(t, store, () => isStoreWatcher)
  for (let index = 0; index < 40; index += 1) store.set(key(`e${index}`), entry())
  await sleep(300)
  t.is(store.listCount + store.deliveryCount, 0)
  isStoreWatcher = true
  t.true(await eventually(() => fleetState.servers.ready('s').length === 40))
  store.set(key('e40'), entry())
  t.true(await eventually(() => fleetState.servers.ready('s').length === 41))
})

test('a waiting node checks the store when another node has lost it', async (t) => {
  const store = new MemoryStore()
  store.set(key('e1'), entry())
  const { fleetState, availability, sync } = start(t, store)
  t.true(await eventually(() => readyServers(fleetState) === 'e1'))
  store.isSilent = true
  await sleep(600)
  t.false(availability.isLost)
  store.isSilent = false
  store.isDown = true
  sync.checkStore()
  t.true(await eventually(() => availability.isLost))
})

/** Guards against a node that waits for changes of an era that has ended: only an answer tells that the store was restored. */
test('the first watch after a failed call does not wait for changes', async (t) => {
  const store = new MemoryStore()
  store.set(key('e1'), entry())
  const fleetState = startSync(t, store)
  t.true(await eventually(() => readyServers(fleetState) === 'e1'))
  store.isDown = true
  t.true(await eventually(() => fleetState.servers.ready('s').length === 1 && store.watchWaits.some((wait) => wait <= 1)))
  store.isDown = false
  t.true(await eventually(() => (store.watchWaits.at(-1) ?? 0) > 1))
})

// Guards against incident DRAIN of issue 26: a node that had lost the store and was relieved counted as having lost it until it watched again.
test('a node that no longer watches the store has not lost it any more', async (t) => {
  const store = new MemoryStore()
  let isStoreWatcher = true
  const { availability } = start(t, store, () => isStoreWatcher)
  t.true(await eventually(() => store.listCount > 1))
  store.isDown = true
  t.true(await eventually(() => availability.isLost))
  isStoreWatcher = false
  t.true(await eventually(() => !availability.isLost))
})

// Guards against incident DRAIN of issue 26: a server that leaves right after a node has the store back was kept as if its entry had expired meanwhile.
test('a removal after the return of the store is applied at once, one during the outage is not', async (t) => {
  const store = new MemoryStore()
  for (const id of ['e1', 'e2', 'e3']) store.set(key(id), entry())
  const { fleetState, availability } = start(t, store)
  t.true(await eventually(() => readyServers(fleetState) === 'e1,e2,e3'))
  store.isDown = true
  await sleep(MIN_EXPIRY_OUTAGE + 200)
  t.true(availability.isLost)
  store.set(key('e1'), null)
  store.isDown = false
  t.true(await eventually(() => !availability.isLost && fleetState.serversRevision === store.revision))
  store.set(key('e2'), null)
  t.true(await eventually(() => readyServers(fleetState) === 'e1,e3'))
})

// Guards against a watch whose answer was lost: it waits like one without changes, although other answers show that the store has changed.
test('a watch that may have missed a change is repeated', async (t) => {
  const store = new MemoryStore()
  store.set(key('e1'), entry())
  const { fleetState, sync } = start(t, store)
  t.true(await eventually(() => readyServers(fleetState) === 'e1'))
  store.losesAnswers = true
  store.set(key('e1'), entry('draining'))
  t.true(await eventually(() => {
    sync.storeAt(store.revision)
    return readyServers(fleetState) === ''
  }))
})

test('the watches of a store without changes are not repeated', async (t) => {
  const store = new MemoryStore()
  store.set(key('e1'), entry())
  const { fleetState, sync } = start(t, store)
  t.true(await eventually(() => readyServers(fleetState) === 'e1'))
  const shownAt = performance.now()
  while (performance.now() - shownAt < 6 * MAX_ANSWER_DELAY) {
    sync.storeAt(store.revision)
    await sleep(10)
  }
  t.false(store.watchWaits.includes(1))
})

test('a watch is not repeated because of a change that has arrived on the watch of another prefix', async (t) => {
  const store = new MemoryStore()
  store.set(key('e1'), entry())
  const { fleetState, sync } = start(t, store)
  t.true(await eventually(() => readyServers(fleetState) === 'e1'))
  store.set(key('e2'), entry())
  t.true(await eventually(() => readyServers(fleetState) === 'e1,e2'))
  const shownAt = performance.now()
  while (performance.now() - shownAt < 2 * MAX_ANSWER_DELAY) {
    sync.storeAt(store.revision)
    await sleep(10)
  }
  t.false(store.watchWaits.includes(1))
})

// The store may have given out a revision for a key that nobody here watches. What is repeated once is not repeated again.
test('both watches are repeated once after a change under a third prefix', async (t) => {
  const store = new MemoryStore()
  store.set(key('e1'), entry())
  const { fleetState, sync } = start(t, store)
  t.true(await eventually(() => readyServers(fleetState) === 'e1'))
  store.set(`${StoreKey.Nodes}n9`, 'other')
  const shortWatches = (): number => store.watchWaits.filter((wait) => wait === 1).length
  t.true(await eventually(() => {
    sync.storeAt(store.revision)
    return shortWatches() === 2
  }))
  const repeatedAt = performance.now()
  while (performance.now() - repeatedAt < 3 * MAX_ANSWER_DELAY) {
    sync.storeAt(store.revision)
    await sleep(10)
  }
  t.is(shortWatches(), 2)
})

// Guards against a call that was made in an outage and fails after the store's return, which counted as another loss.
test('a call that fails after another one was answered since it began is no loss of the store', async (t) => {
  const store = new MemoryStore()
  let losses = 0
  const { availability } = start(t, store, () => true, () => { losses += 1 })
  t.true(await eventually(() => store.listCount > 1))
  let release = (): void => {}
  store.lateFailure = { prefix: StoreKey.Operator, released: new Promise((resolve) => { release = resolve }) }
  store.isDown = true
  t.true(await eventually(() => availability.isLost))
  store.isDown = false
  t.true(await eventually(() => !availability.isLost))
  const watches = (): number => store.watchedPrefixes.filter((prefix) => prefix === StoreKey.Operator).length
  const before = watches()
  release()
  t.true(await eventually(() => watches() > before))
  t.is(losses, 1)
})

// Guards against a false loss that is announced to the other nodes, whose watchers then check the store.
test('a call that fails after this node was relieved is no loss of the store', async (t) => {
  const store = new MemoryStore()
  store.set(key('e1'), entry())
  let isStoreWatcher = true
  let lossCount = 0
  const { fleetState, availability } = start(t, store, () => isStoreWatcher, () => { lossCount += 1 })
  t.true(await eventually(() => readyServers(fleetState) === 'e1'))
  let release = (): void => {}
  store.lateFailure = { prefix: StoreKey.BackendServers, released: new Promise((resolve) => { release = resolve }) }
  store.isDown = true
  t.true(await eventually(() => availability.isLost))
  isStoreWatcher = false
  t.true(await eventually(() => !availability.isLost))
  release()
  for (let turn = 0; turn < 5; turn += 1) await nextTurn()
  t.is(lossCount, 1)
})
