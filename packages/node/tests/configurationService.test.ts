import test from 'ava'
import { setTimeout as sleep } from 'node:timers/promises'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'

import type { ConfigurationValue, EditId, FailureDomain, NodeId, ValueVersion } from '@bluebellhill/domain'
import { ConfigurationStore, FLEET_VALUE_NAME } from '@bluebellhill/services'
import type { EditOutcome } from '@bluebellhill/services'

import { ConfigurationPeers, ConfigurationService } from '../src/configuration/index.js'
import type { ConfigurationMember, ConfigurationReport } from '../src/configuration/index.js'
import { FakeKeyValue } from './fakeKeyValue.js'

const DOMAINS = ['bayangol', 'sukhbaatar', 'khan-uul']
const LIMIT_MS = 30_000

class Cluster {
  readonly keyValue = new FakeKeyValue()
  readonly services = new Map<NodeId, ConfigurationService>()
  readonly members: ConfigurationMember[] = []
  readonly reports: ConfigurationReport[] = []
  readonly isolatedNodes = new Set<NodeId>()

  add (name: string, failureDomain: string, keyValue: FakeKeyValue = this.keyValue): ConfigurationService {
    const node = name as NodeId
    this.members.push({ node, failureDomain: failureDomain as FailureDomain })
    const service = new ConfigurationService({
      node,
      failureDomain: failureDomain as FailureDomain,
      store: new ConfigurationStore(keyValue),
      peers: new ClusterPeers(this, node),
      rng: xoroshiro128plus(this.members.length),
      wallClock: Date.now,
      report: (report) => this.reports.push(report)
    })
    this.services.set(node, service)
    return service
  }

  async start (): Promise<void> {
    for (const domain of DOMAINS) for (const index of [1, 2, 3]) this.add(`${domain}-${index}`, domain)
    await Promise.all([...this.services.values()].map((service) => service.start()))
  }

  dispose (): void {
    for (const service of this.services.values()) service.dispose()
  }

  async edit (text: string): Promise<EditOutcome> {
    const edit = `edit-${Math.random()}` as EditId
    return await new ConfigurationStore(this.keyValue).edit({ name: FLEET_VALUE_NAME, edit, author: 'test', text, expected: null, minRevision: 0 }, Date.now())
  }

  isInForceEverywhere (text: string): boolean {
    return [...this.services.values()].every((service) => service.values([FLEET_VALUE_NAME])[0]?.text === text && service.current !== null)
  }
}

class ClusterPeers extends ConfigurationPeers {
  readonly #cluster: Cluster
  readonly #self: NodeId

  constructor (cluster: Cluster, self: NodeId) {
    super()
    this.#cluster = cluster
    this.#self = self
  }

  override members (): readonly ConfigurationMember[] {
    return this.#cluster.members
  }

  override async versions (node: NodeId, digest: number): Promise<readonly ValueVersion[] | null> {
    const service = this.#serviceOf(node)
    return service.digest === digest ? null : service.versions()
  }

  override async values (node: NodeId, names: readonly string[]): Promise<readonly ConfigurationValue[]> {
    return this.#serviceOf(node).values(names)
  }

  override async push (node: NodeId, values: readonly ConfigurationValue[]): Promise<void> {
    await this.#serviceOf(node).install(this.#self, values)
  }

  #serviceOf (node: NodeId): ConfigurationService {
    if (this.#cluster.isolatedNodes.has(node) !== this.#cluster.isolatedNodes.has(this.#self)) throw new Error('the nodes are isolated from each other')
    return this.#cluster.services.get(node)!
  }
}

const until = async (condition: () => boolean): Promise<boolean> => {
  for (const end = Date.now() + LIMIT_MS; Date.now() < end; await sleep(20)) {
    if (condition()) return true
  }
  return false
}

const fleet = (name: string): string => `kind: fleet\nmodels: [{name: ${name}, versions: [{name: v1}], current: v1}]\n`

test('an edit comes into force on all nodes, and two nodes of each failure domain watch the store', async (t) => {
  const cluster = new Cluster()
  t.teardown(() => cluster.dispose())
  await cluster.start()
  t.is((await cluster.edit(fleet('one'))).type, 'accepted')
  t.true(await until(() => cluster.isInForceEverywhere(fleet('one'))))
  t.is([...cluster.services.values()].filter((service) => service.isWatching).length, 6)
  t.is(cluster.services.get('bayangol-3' as NodeId)?.current?.model('one')?.current, 'v1')
})

test('a store restored from a backup reverts no node and receives the newest edit again', async (t) => {
  const cluster = new Cluster()
  t.teardown(() => cluster.dispose())
  await cluster.start()
  await cluster.edit(fleet('one'))
  const backup = cluster.keyValue.snapshot()
  await cluster.edit(fleet('two'))
  t.true(await until(() => cluster.isInForceEverywhere(fleet('two'))))
  const installs = cluster.reports.filter((report) => report.type === 'installed').length
  cluster.keyValue.restore(backup)
  t.true(await until(() => cluster.reports.some((report) => report.type === 'written_back' && report.result === 'swapped')))
  const stored = await new ConfigurationStore(cluster.keyValue).read(FLEET_VALUE_NAME)
  t.is(stored.ok ? stored.value?.value?.text : null, fleet('two'))
  t.is(cluster.reports.filter((report) => report.type === 'installed').length, installs)
})

test('a node that is disposed of during its start sends no further requests', async (t) => {
  const cluster = new Cluster()
  const service = cluster.add('alone', 'bayangol')
  const started = service.start()
  service.dispose()
  let asked = 0
  Object.defineProperty(cluster, 'members', { get: () => { asked += 1; throw new Error('membership has stopped') } })
  await t.notThrowsAsync(started)
  t.is(asked, 0)
  t.is(cluster.keyValue.calls, 0)
})

test('a node that starts while the store is unavailable gets the configuration from peers', async (t) => {
  const cluster = new Cluster()
  t.teardown(() => cluster.dispose())
  await cluster.start()
  await cluster.edit(fleet('one'))
  t.true(await until(() => cluster.isInForceEverywhere(fleet('one'))))
  cluster.keyValue.goDown()
  await cluster.add('bayangol-0', 'bayangol').start()
  t.true(cluster.isInForceEverywhere(fleet('one')))
})

test('an isolated failure domain gets the edit after it is reconnected', async (t) => {
  const cluster = new Cluster()
  t.teardown(() => cluster.dispose())
  const unreachable = new FakeKeyValue()
  unreachable.goDown()
  for (const index of [1, 2, 3]) cluster.add(`bayangol-${index}`, 'bayangol')
  for (const index of [1, 2, 3]) {
    cluster.add(`khan-uul-${index}`, 'khan-uul', unreachable)
    cluster.isolatedNodes.add(`khan-uul-${index}` as NodeId)
  }
  await Promise.all([...cluster.services.values()].map((service) => service.start()))
  await cluster.edit(fleet('one'))
  t.true(await until(() => cluster.services.get('bayangol-3' as NodeId)?.current !== null))
  t.is(cluster.services.get('khan-uul-1' as NodeId)?.current, null)
  cluster.isolatedNodes.clear()
  t.true(await until(() => cluster.isInForceEverywhere(fleet('one'))))
})

test('the previous value stays in force if this version cannot parse the new text', async (t) => {
  const cluster = new Cluster()
  t.teardown(() => cluster.dispose())
  await cluster.start()
  await cluster.edit(fleet('one'))
  t.true(await until(() => cluster.isInForceEverywhere(fleet('one'))))
  await cluster.edit('kind: fleet\nnewField: 1\n')
  t.true(await until(() => cluster.reports.some((report) => report.type === 'unusable')))
  t.not(cluster.services.get('bayangol-1' as NodeId)?.current?.model('one'), null)
})

test('an edit whose response is lost still reports its outcome', async (t) => {
  const cluster = new Cluster()
  await cluster.edit(fleet('one'))
  cluster.keyValue.lostAnswers = 2
  const outcome = await cluster.edit(fleet('two'))
  t.like(outcome, { type: 'accepted', settled: true, superseded: null })
  const stored = await new ConfigurationStore(cluster.keyValue).read(FLEET_VALUE_NAME)
  t.is(stored.ok ? stored.value?.value?.history.length : null, 1)
})
