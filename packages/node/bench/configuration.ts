/**
 * Benchmark of the configuration service: the time until an edit is in force on all nodes, and the calls to the key-value
 * service while nothing changes, during an outage and after it.
 */
import { writeFile } from 'node:fs/promises'
import { setTimeout as sleep } from 'node:timers/promises'

import { defineCommand, runMain } from 'citty'
import { build } from 'hdr-histogram-js'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'

import type { ConfigurationValue, EditId, FailureDomain, NodeId, ValueVersion } from '@bluebellhill/domain'
import { ConfigurationStore, FLEET_VALUE_NAME, HttpKeyValueService, HttpPool } from '@bluebellhill/services'

import { ConfigurationPeers, ConfigurationService } from '../src/configuration/index.js'
import type { ConfigurationMember } from '../src/configuration/index.js'
import { startStandin } from './standinProcess.js'
import type { StandinProcess } from './standinProcess.js'

const MAX_CALLS_PER_NODE_PER_SECOND = 1
const MAX_IN_FORCE_MS = 9_000
const EDITS = 40
const IDLE_MS = 20_000
const OUTAGE_MS = 20_000
const AFTER_RETURN_MS = 10_000
const MS_PER_SECOND = 1_000

/** Traffic between the configuration services: calls, and bytes of JSON. */
const traffic = { calls: 0, bytes: 0 }

const countTraffic = <Value>(value: Value): Value => {
  traffic.calls += 1
  traffic.bytes += JSON.stringify(value)?.length ?? 0
  return value
}

/** Calls the configuration services of this process directly, in place of connections between nodes. */
class LocalPeers extends ConfigurationPeers {
  readonly #services: ReadonlyMap<NodeId, ConfigurationService>
  readonly #members: readonly ConfigurationMember[]
  readonly #self: NodeId

  constructor (services: ReadonlyMap<NodeId, ConfigurationService>, members: readonly ConfigurationMember[], self: NodeId) {
    super()
    this.#services = services
    this.#members = members
    this.#self = self
  }

  override members (): readonly ConfigurationMember[] {
    return this.#members
  }

  override async versions (node: NodeId, digest: number): Promise<readonly ValueVersion[] | null> {
    const service = this.#services.get(node)!
    return countTraffic(service.digest === digest ? null : service.versions())
  }

  override async values (node: NodeId, names: readonly string[]): Promise<readonly ConfigurationValue[]> {
    return countTraffic(this.#services.get(node)!.values(names))
  }

  override async push (node: NodeId, values: readonly ConfigurationValue[]): Promise<void> {
    await this.#services.get(node)!.install(this.#self, countTraffic(values))
  }
}

const openServices = (address: string, seed: number, nodes: number, failureDomains: number): ConfigurationService[] => {
  const services = new Map<NodeId, ConfigurationService>()
  const pool = new HttpPool()
  const members = Array.from({ length: nodes }, (_, index) => ({
    node: `node-${index}` as NodeId,
    failureDomain: `domain-${index % failureDomains}` as FailureDomain
  }))
  members.forEach(({ node, failureDomain }, index) => services.set(node, new ConfigurationService({
    node,
    failureDomain,
    store: new ConfigurationStore(new HttpKeyValueService(pool, [address])),
    peers: new LocalPeers(services, members, node),
    rng: xoroshiro128plus(seed + index),
    wallClock: Date.now,
    report: () => {}
  })))
  return [...services.values()]
}

const callsOf = async (store: StandinProcess): Promise<{ total: number, bySecond: Record<string, number> }> =>
  (await store.ledger() as { calls: { total: number, bySecond: Record<string, number> } }).calls

const editOnce = async (store: ConfigurationStore, services: readonly ConfigurationService[], index: number): Promise<number> => {
  const text = `kind: fleet\nmodels: [{name: model-${index}, versions: [{name: v1}], current: v1}]\n`
  const outcome = await store.edit({ name: FLEET_VALUE_NAME, edit: `edit-${index}` as EditId, author: 'bench', text, expected: null, minRevision: 0 }, Date.now())
  const accepted = performance.now()
  if (outcome.type !== 'accepted') throw new Error(`the edit was not accepted: ${outcome.type}`)
  while (!services.every((service) => service.current?.model(`model-${index}`) != null)) await sleep(1)
  return performance.now() - accepted
}

const main = defineCommand({
  meta: { name: 'configuration', description: 'Time until an edit is in force, and calls to the key-value service' },
  args: {
    seed: { type: 'string', default: '1', description: 'Seed of the random generators' },
    nodes: { type: 'string', default: '9', description: 'Number of configuration services in this process' },
    'failure-domains': { type: 'string', default: '3', description: 'Number of failure domains' },
    json: { type: 'string', default: '', description: 'File to write the results to' }
  },
  run: async ({ args }) => {
    const standin = await startStandin('key-value')
    const services = openServices(standin.address, Number(args.seed), Number(args.nodes), Number(args['failure-domains']))
    const editor = new ConfigurationStore(new HttpKeyValueService(new HttpPool(), [standin.address]))
    await Promise.all(services.map(async (service) => await service.start()))
    const inForce = build({ highestTrackableValue: 60_000_000, numberOfSignificantValueDigits: 3 })
    for (let index = 0; index < EDITS; index += 1) inForce.recordValue(Math.max(1, Math.round(await editOnce(editor, services, index) * 1_000)))
    const beforeIdle = await callsOf(standin)
    Object.assign(traffic, { calls: 0, bytes: 0 })
    const processor = process.cpuUsage()
    await sleep(IDLE_MS)
    const afterIdle = await callsOf(standin)
    const idleTraffic = { ...traffic }
    const used = process.cpuUsage(processor)
    await standin.setFaults({ unavailable: true })
    await sleep(OUTAGE_MS)
    const afterOutage = await callsOf(standin)
    await standin.setFaults({ unavailable: false })
    const inForceAfterReturn = await editOnce(editor, services, EDITS)
    await sleep(AFTER_RETURN_MS)
    const afterReturn = await callsOf(standin)
    const callsBySecond = Object.entries(afterReturn.bySecond).filter(([second]) => !(second in afterOutage.bySecond)).map(([, calls]) => calls)
    const nodes = services.length
    const figures = {
      nodes,
      inForceMsP50: inForce.getValueAtPercentile(50) / 1_000,
      inForceMsMax: inForce.maxValue / 1_000,
      idleCallsPerNodePerSecond: (afterIdle.total - beforeIdle.total + nodes) / nodes / (IDLE_MS / MS_PER_SECOND),
      idlePeerCallsPerNodePerSecond: idleTraffic.calls / nodes / (IDLE_MS / MS_PER_SECOND),
      idlePeerBytesPerNodePerSecond: idleTraffic.bytes / nodes / (IDLE_MS / MS_PER_SECOND),
      idleProcessorSharePerNode: (used.user + used.system) / MS_PER_SECOND / IDLE_MS / nodes,
      outageCallsPerNodePerSecond: (afterOutage.total - afterIdle.total) / nodes / (OUTAGE_MS / MS_PER_SECOND),
      returnCallsInOneSecondMax: Math.max(0, ...callsBySecond),
      inForceMsAfterReturn: Math.round(inForceAfterReturn)
    }
    const report = {
      bench: 'configuration',
      seed: Number(args.seed),
      figures,
      bounds: [
        { name: 'idleCallsPerNodePerSecond', most: MAX_CALLS_PER_NODE_PER_SECOND, met: figures.idleCallsPerNodePerSecond <= MAX_CALLS_PER_NODE_PER_SECOND },
        { name: 'outageCallsPerNodePerSecond', most: MAX_CALLS_PER_NODE_PER_SECOND, met: figures.outageCallsPerNodePerSecond <= MAX_CALLS_PER_NODE_PER_SECOND },
        { name: 'inForceMsMax', most: MAX_IN_FORCE_MS, met: figures.inForceMsMax <= MAX_IN_FORCE_MS },
        { name: 'inForceMsAfterReturn', most: MAX_IN_FORCE_MS, met: figures.inForceMsAfterReturn <= MAX_IN_FORCE_MS }
      ]
    }
    const text = JSON.stringify(report, null, 2)
    if (args.json !== '') await writeFile(args.json, text)
    console.log(text)
    standin.stop()
    process.exit(report.bounds.every(({ met }) => met) ? 0 : 1)
  }
})

await runMain(main)
