import test from 'ava'

import type { EngineCommand, FailureDomain, Member, NodeId, EngineCommandResult, PlacedRunner, RunnerId } from '@bluebellhill/domain'

import { EngineOrders, LeadershipStore, PlacementService } from '../src/index.js'
import type { LeaseAnswer } from '../src/index.js'
import { until } from './membershipFleet.js'

const LEASE = { lifetime: 1_500, margin: 300, renewPeriod: 400, retryPeriod: 300 }

class OneLease extends LeadershipStore {
  answersAreLost = false
  private held: { token: string, until: number } | null = null
  private revision = 0

  async acquire (_: FailureDomain, token: string, lifetime: number): Promise<LeaseAnswer> {
    if (this.held !== null && this.held.until > performance.now()) return { kind: 'refused' }
    this.held = { token, until: performance.now() + lifetime }
    this.revision += 1
    if (this.answersAreLost) throw new Error('connection reset')
    return { kind: 'granted', revision: this.revision }
  }

  async renew (_: FailureDomain, token: string): Promise<LeaseAnswer> {
    if (this.held?.token !== token || this.held.until <= performance.now()) return { kind: 'refused' }
    this.held.until = performance.now() + LEASE.lifetime
    return { kind: 'granted', revision: this.revision }
  }

  async release (_: FailureDomain, token: string): Promise<void> {
    if (this.held?.token === token) this.held = null
  }
}

class OneEngine extends EngineOrders {
  fencing = 0
  state: PlacedRunner = { runner: 'r' as RunnerId, loaded: null, loading: null, adapters: [], role: 'mixed', streams: 0, leaving: false }

  async give (_: RunnerId, fencing: number, order: EngineCommand): Promise<EngineCommandResult> {
    if (fencing < this.fencing) return { kind: 'stale_fencing', current: this.fencing }
    this.fencing = fencing
    if (order.kind === 'load') this.state = { ...this.state, loaded: { model: order.model, version: order.version } }
    return { kind: 'accepted' }
  }
}

const workers = ['a', 'b'].map((node) => ({ node: node as NodeId, failureDomain: 'fd' as FailureDomain, peerAddress: '', gossipAddress: '', state: 'alive', leaving: false, incarnation: 0, startedAt: 1 }) satisfies Member)

const pair = (store: OneLease, engine: OneEngine): PlacementService[] => workers.map(({ node }) => {
  const service = new PlacementService({ node, failureDomain: 'fd' as FailureDomain, startedAt: 1, enginesCheckFencing: true, store, engines: engine, workers: () => workers, clock: () => performance.now(), lease: LEASE })
  service.start()
  return service
})

test('one of two nodes leads, places the model, and hands over when it stops', async (t) => {
  const engine = new OneEngine()
  const services = pair(new OneLease(), engine)
  const report = setInterval(() => services.forEach((service) => service.runnerReported(engine.state)), 100)
  t.teardown(async () => {
    clearInterval(report)
    await Promise.all(services.map((service) => service.dispose()))
  })
  const wants = (version: string) => [{ model: 'm', version, adapters: [], role: 'mixed' as const, warmCopies: 1, urgency: 1, weightBytes: 1_000 }]
  services.forEach((service) => service.wantsChanged(wants('v1')))
  await until(() => engine.state.loaded?.version === 'v1')
  t.is(services.filter(({ fencing }) => fencing !== null).length, 1)
  const first = services.find(({ fencing }) => fencing !== null) as PlacementService
  const fencing = engine.fencing
  await first.dispose()
  services.forEach((service) => service.wantsChanged(wants('v2')))
  await until(() => engine.state.loaded?.version === 'v2')
  t.true(engine.fencing > fencing)
})

test('a grant whose answer is lost is given back', async (t) => {
  const store = new OneLease()
  store.answersAreLost = true
  const services = pair(store, new OneEngine())
  t.teardown(async () => { await Promise.all(services.map((service) => service.dispose())) })
  services.forEach((service) => service.wantsChanged([]))
  let asked = 0
  const acquire = store.acquire.bind(store)
  store.acquire = async (...parameters) => {
    asked += 1
    return await acquire(...parameters)
  }
  await until(() => asked >= 4)
  t.deepEqual(services.map(({ fencing }) => fencing), [null, null])
  store.answersAreLost = false
  await until(() => services.some(({ fencing }) => fencing !== null))
})
