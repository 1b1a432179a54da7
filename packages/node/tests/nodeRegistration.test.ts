import { setTimeout as sleep } from 'node:timers/promises'

import test from 'ava'
import type { ExecutionContext } from 'ava'

import type { FailureDomain, NodeId, SchedulerCandidate } from '@bluebellhill/domain'
import { MetadataStore, StoreKey } from '@bluebellhill/platform'
import type { StoreLease, StorePage } from '@bluebellhill/platform'
import { failed, HttpPool, success } from '@bluebellhill/services'
import type { CallFailure, Result } from '@bluebellhill/services'

import { encodeNodeEntry, NodeRegistration } from '../src/forward/store/NodeRegistration.js'
import { silentLog } from './forwardFixture.js'

const node = (index: number): SchedulerCandidate =>
  ({ node: `n${index}` as NodeId, address: `10.0.0.${index}:7340`, failureDomain: 'd0' as FailureDomain, processor: 1 })

/** Store in memory whose leases can be slow, and are lost when it is restored from an empty copy. */
class RegistrationStore extends MetadataStore {
  readonly entries = new Map<string, Buffer>()
  leaseDelay = 0
  #nextLease = 1

  constructor () {
    super({ address: 'none', http: new HttpPool(1), timeout: 1 })
  }

  override async range (): Promise<Result<StorePage, CallFailure>> {
    return success({ items: [...this.entries].map(([key, value]) => ({ key, value, revision: 1 })), hasMore: false, revision: 1 })
  }

  override async grantLease (ttl: number): Promise<Result<StoreLease, CallFailure>> {
    await sleep(this.leaseDelay)
    return success({ id: String(this.#nextLease++), ttl })
  }

  override async renewLease (): Promise<Result<unknown, CallFailure>> {
    return failed({ type: 'rejected', status: 404, code: 'ended', retryAfter: null, reason: 'ended' })
  }

  override async put (key: string, contents: Buffer): Promise<Result<unknown, CallFailure>> {
    this.entries.set(key, contents)
    return success(null)
  }
}

const register = (t: ExecutionContext, store: RegistrationStore): { listed: Set<string>, registration: NodeRegistration } => {
  const listed = new Set<string>()
  const registration = new NodeRegistration({ store, self: node(0), onNodesListed: (nodes) => { for (const { node: name } of nodes) listed.add(name) }, log: silentLog() })
  registration.start()
  t.teardown(() => registration.dispose())
  return { listed, registration }
}

/** Waits for a condition, with a generous limit. */
const until = async (condition: () => boolean): Promise<void> => {
  const limit = performance.now() + 10_000
  while (!condition() && performance.now() < limit) await sleep(5)
}

/** Guards against nodes that all wait for each other after they were killed together: only the list tells which of them watch the store. */
test('a node that starts knows the others before its own registration is done', async (t) => {
  const store = new RegistrationStore()
  store.entries.set(`${StoreKey.Nodes}n1`, Buffer.from(encodeNodeEntry(node(1))))
  store.leaseDelay = 60_000
  const { listed } = register(t, store)
  await until(() => listed.size > 0)
  t.deepEqual([...listed], ['n1'])
})

test('a node registers again after the store was restored without its entry, also if it was restored during a registration', async (t) => {
  const store = new RegistrationStore()
  const { registration } = register(t, store)
  const isRegistered = (): boolean => store.entries.has(`${StoreKey.Nodes}n0`)
  await until(isRegistered)
  for (const leaseDelay of [0, 100]) {
    store.leaseDelay = leaseDelay
    store.entries.clear()
    registration.storeRestored()
    await sleep(leaseDelay / 2)
    registration.storeRestored()
    await until(isRegistered)
    t.true(isRegistered())
  }
})
