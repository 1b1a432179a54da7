/** Answers of the store that lead on without an end. */
import { setImmediate as nextTurn, setTimeout as sleep } from 'node:timers/promises'

import test from 'ava'
import type { ExecutionContext } from 'ava'

import type { FailureDomain, NodeId } from '@bluebellhill/domain'
import { MetadataStore, StoreKey } from '@bluebellhill/platform'
import type { StoreChanges, StoreItem, StorePage } from '@bluebellhill/platform'
import { failed, HttpPool, success } from '@bluebellhill/services'
import type { CallFailure, Result } from '@bluebellhill/services'

import { FleetState } from '../src/forward/FleetState.js'
import { ForwardMetrics } from '../src/forward/ForwardMetrics.js'
import { NodeRegistration } from '../src/forward/store/NodeRegistration.js'
import { StoreAvailability } from '../src/forward/store/StoreAvailability.js'
import { StoreSync } from '../src/forward/store/StoreSync.js'
import { silentLog } from './forwardFixture.js'

const MS_PER_SECOND = 1_000

/** Calls that a node may make each second for one prefix, when the answers tell it nothing. */
const MOST_CALLS_PER_SECOND = 12

const PREFIXES = 2

const GONE: CallFailure = { type: 'rejected', status: 410, code: 'gone', retryAfter: null, reason: 'gone' }
const ENTRY = JSON.stringify({ service: 's', address: '10.0.0.1:80', zone: 'd1', slots: 4, state: 'ready' })

/** Store with one server, some of whose answers lead on. */
class LeadingStore extends MetadataStore {
  listCount = 0
  watchCount = 0
  /** Whether each page of a listing states that another one follows, which is the same. */
  repeatsPages = false
  /** What a watch returns; null if it waits. */
  watchAnswer: Result<StoreChanges, CallFailure> | null = null

  constructor () {
    super({ address: '127.0.0.1:1', http: new HttpPool(1), timeout: 1 })
  }

  override async range (prefix: string): Promise<Result<StorePage, CallFailure>> {
    this.listCount += 1
    await nextTurn()
    const items: StoreItem[] = prefix === StoreKey.Operator ? [] : [{ key: `${prefix}i-1`, value: Buffer.from(ENTRY), revision: 3 }]
    return success({ items, hasMore: this.repeatsPages, revision: 3 })
  }

  override async watch (_prefix: string, _after: number, wait: number, signal: AbortSignal): Promise<Result<StoreChanges, CallFailure>> {
    this.watchCount += 1
    await nextTurn()
    if (this.watchAnswer !== null) return this.watchAnswer
    await sleep(wait, undefined, { signal }).catch(() => {})
    return success({ changes: [], revision: 3 })
  }
}

const follow = (t: ExecutionContext, store: LeadingStore): FleetState => {
  const clock = (): number => performance.now()
  const fleetState = new FleetState(silentLog(), clock)
  const sync = new StoreSync({ store, fleetState, availability: new StoreAvailability(fleetState, silentLog(), clock), metrics: new ForwardMetrics(), log: silentLog(), clock, isStoreWatcher: () => true })
  sync.start()
  t.teardown(() => {
    sync.dispose()
    store.repeatsPages = false
  })
  return fleetState
}

const untilFollowed = async (fleetState: FleetState): Promise<boolean> => {
  const until = performance.now() + 10 * MS_PER_SECOND
  while (fleetState.servers.ready('s').length === 0 && performance.now() < until) await sleep(5)
  return fleetState.servers.ready('s').length > 0
}

// Guards against a node that fills its memory with one page, again and again, and follows the store no more.
test('a listing whose pages repeat ends, and the next one is taken', async (t) => {
  const store = new LeadingStore()
  store.repeatsPages = true
  const fleetState = follow(t, store)
  await sleep(MS_PER_SECOND)
  t.true(store.listCount <= PREFIXES * MOST_CALLS_PER_SECOND, `${store.listCount} pages`)
  store.repeatsPages = false
  t.true(await untilFollowed(fleetState))
})

test('a listing of nodes whose pages repeat ends', async (t) => {
  const store = new LeadingStore()
  store.repeatsPages = true
  const registration = new NodeRegistration({ store, self: { node: 'n0' as NodeId, address: '10.0.0.1:7340', failureDomain: 'd0' as FailureDomain, processor: 1 }, onNodesListed: () => {}, log: silentLog() })
  t.teardown(() => {
    registration.dispose()
    store.repeatsPages = false
  })
  registration.start()
  await sleep(MS_PER_SECOND)
  t.true(store.listCount <= MOST_CALLS_PER_SECOND, `${store.listCount} pages`)
})

// Guards against a node that spends its processor, and the calls of all nodes, on a store that never has a history.
test('a store without a history is listed at a bounded rate', async (t) => {
  const store = new LeadingStore()
  store.watchAnswer = failed(GONE)
  const fleetState = follow(t, store)
  t.true(await untilFollowed(fleetState))
  await sleep(MS_PER_SECOND)
  t.true(store.listCount <= PREFIXES * MOST_CALLS_PER_SECOND, `${store.listCount} listings`)
})

test('a store whose watches end at once is watched at a bounded rate', async (t) => {
  const store = new LeadingStore()
  store.watchAnswer = success({ changes: [], revision: 3 })
  const fleetState = follow(t, store)
  t.true(await untilFollowed(fleetState))
  await sleep(MS_PER_SECOND)
  t.true(store.watchCount <= PREFIXES * MOST_CALLS_PER_SECOND, `${store.watchCount} watches`)
})
