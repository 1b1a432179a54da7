import test from 'ava'

import type { EngineCommand, FailureDomain, Member, NodeId, EngineCommandResult, PlacedRunner, RunnerId } from '@bluebellhill/domain'

import { EngineCommands, LeadershipStore, PlacementService } from '../src/index.js'
import type { LeaseAnswer } from '../src/index.js'
import { until } from './membershipFleet.js'

const LEASE = { lifetime: 1_500, margin: 300, renewPeriod: 400, retryPeriod: 300 }

class FakeLeadershipStore extends LeadershipStore {
  responsesAreLost = false
  private lease: { token: string, until: number } | null = null
  private revision = 0

  async acquire (_: FailureDomain, token: string, lifetime: number): Promise<LeaseAnswer> {
    if (this.lease !== null && this.lease.until > performance.now()) return { kind: 'refused' }
    this.lease = { token, until: performance.now() + lifetime }
    this.revision += 1
    if (this.responsesAreLost) throw new Error('connection reset')
    return { kind: 'granted', revision: this.revision }
  }

  async renew (_: FailureDomain, token: string): Promise<LeaseAnswer> {
    if (this.lease?.token !== token || this.lease.until <= performance.now()) return { kind: 'refused' }
    this.lease.until = performance.now() + LEASE.lifetime
    return { kind: 'granted', revision: this.revision }
  }

  async release (_: FailureDomain, token: string): Promise<void> {
    if (this.lease?.token === token) this.lease = null
  }
}

class FakeEngine extends EngineCommands {
  lastFencing = 0
  state: PlacedRunner = { runner: 'r' as RunnerId, loaded: null, loading: null, adapters: [], role: 'mixed', streams: 0, leaving: false }

  async send (_: RunnerId, fencing: number, command: EngineCommand): Promise<EngineCommandResult> {
    if (fencing < this.lastFencing) return { kind: 'stale_fencing', current: this.lastFencing }
    this.lastFencing = fencing
    if (command.kind === 'load') this.state = { ...this.state, loaded: { model: command.model, version: command.version } }
    return { kind: 'accepted' }
  }
}

const members = ['a', 'b'].map((node) => ({ node: node as NodeId, failureDomain: 'fd' as FailureDomain, peerAddress: '', gossipAddress: '', state: 'alive', leaving: false, incarnation: 0, startedAt: 1 }) satisfies Member)

const startPair = (store: FakeLeadershipStore, engine: FakeEngine): PlacementService[] => members.map(({ node }) => {
  const service = new PlacementService({ node, failureDomain: 'fd' as FailureDomain, startedAt: 1, enginesCheckFencing: true, store, engineCommands: engine, membersAcceptingWork: () => members, clock: () => performance.now(), lease: LEASE })
  service.start()
  return service
})

test('one of two nodes leads and places the model, and the other leads after the first has stopped', async (t) => {
  const engine = new FakeEngine()
  const services = startPair(new FakeLeadershipStore(), engine)
  const report = setInterval(() => services.forEach((service) => service.runnerReported(engine.state)), 100)
  t.teardown(async () => {
    clearInterval(report)
    await Promise.all(services.map((service) => service.dispose()))
  })
  const wantedModels = (version: string) => [{ model: 'm', version, adapters: [], role: 'mixed' as const, warmCopies: 1, urgency: 1, weightBytes: 1_000 }]
  services.forEach((service) => service.wantedModelsChanged(wantedModels('v1')))
  await until(() => engine.state.loaded?.version === 'v1')
  t.is(services.filter(({ fencing }) => fencing !== null).length, 1)
  const first = services.find(({ fencing }) => fencing !== null) as PlacementService
  const fencing = engine.lastFencing
  await first.dispose()
  services.forEach((service) => service.wantedModelsChanged(wantedModels('v2')))
  await until(() => engine.state.loaded?.version === 'v2')
  t.true(engine.lastFencing > fencing)
})

test('a lease whose grant response is lost is released', async (t) => {
  const store = new FakeLeadershipStore()
  store.responsesAreLost = true
  const services = startPair(store, new FakeEngine())
  t.teardown(async () => { await Promise.all(services.map((service) => service.dispose())) })
  services.forEach((service) => service.wantedModelsChanged([]))
  let requestCount = 0
  const acquire = store.acquire.bind(store)
  store.acquire = async (...parameters) => {
    requestCount += 1
    return await acquire(...parameters)
  }
  await until(() => requestCount >= 4)
  t.deepEqual(services.map(({ fencing }) => fencing), [null, null])
  store.responsesAreLost = false
  await until(() => services.some(({ fencing }) => fencing !== null))
})
