/** Benchmark of the cost of membership and gossip per node at several fleet sizes: `node dist/bench/membership.js [--seed S] [--sizes 9,380] [--json FILE]`. */
import { writeFileSync } from 'node:fs'
import { parseArgs } from 'node:util'

import { MemberFleet } from './memberFleet.js'

const MODELS = 8
const WARM_UP_MS = 40_000
const MEASURED_MS = 30_000
const CONFIGURATION_PERIOD_MS = 15_000
const BOUNDS = { coreShare: 0.017, memoryBytes: 128 * 1024 * 1024, bytesPerSecond: 7_000 }

const domainsOf = (nodes: number): number => nodes >= 150 ? 5 : 3

const quantile = (sorted: readonly number[], share: number): number | null =>
  sorted[Math.min(sorted.length - 1, Math.floor(share * sorted.length))] ?? null

const usedHeapBytes = (): number => {
  globalThis.gc?.()
  return process.memoryUsage().heapUsed
}

const measureSteady = (nodes: number, seed: number, changing: boolean): object => {
  const before = usedHeapBytes()
  const fleet = new MemberFleet({ nodes, domains: domainsOf(nodes), seed })
  let revision = 0
  const publishChanges = (): void => {
    if (changing) fleet.publishSummaries(MODELS)
    if (changing && fleet.now % 2_000 === 0) fleet.publishAggregates(MODELS)
    if (fleet.now % CONFIGURATION_PERIOD_MS === 0) fleet.publishRevision(1, ++revision)
  }
  fleet.publishSummaries(MODELS)
  fleet.run(WARM_UP_MS, publishChanges)
  fleet.resetCost()
  fleet.run(MEASURED_MS / 3, publishChanges)
  fleet.crash(nodes - 1)
  fleet.run(MEASURED_MS / 3, publishChanges)
  fleet.restart(nodes - 1)
  fleet.run(MEASURED_MS / 3, publishChanges)
  const memory = usedHeapBytes() - before
  const { decideMs, codecMs, datagrams, bytes, largest, oversized } = fleet.cost
  const perNodeSecond = nodes * MEASURED_MS / 1_000
  const summaryAges = fleet.ages('summary/', true)
  const aggregateAges = fleet.ages('aggregate/', false)
  return {
    nodes,
    load: changing ? 'every summary changes each 250 ms' : 'summaries unchanged',
    decideCoreShare: decideMs / perNodeSecond / 1_000,
    codecCoreShare: codecMs / perNodeSecond / 1_000,
    memoryBytes: Math.round(memory / nodes),
    sentBytesPerSecond: Math.round(bytes / perNodeSecond),
    sentAndReceivedBytesPerSecond: Math.round(2 * bytes / perNodeSecond),
    datagramsPerSecond: Number((datagrams / perNodeSecond).toFixed(2)),
    largestDatagram: largest,
    oversized,
    summaryAgeMs: changing ? { values: summaryAges.length, p50: quantile(summaryAges, 0.5), p95: quantile(summaryAges, 0.95), max: summaryAges.at(-1) ?? null } : null,
    aggregateAgeMs: changing ? { p50: quantile(aggregateAges, 0.5), p95: quantile(aggregateAges, 0.95), max: aggregateAges.at(-1) ?? null } : null
  }
}

const measureFaults = (nodes: number, seed: number): object => {
  const fleet = new MemberFleet({ nodes, domains: domainsOf(nodes), seed })
  fleet.run(WARM_UP_MS)
  const formed = fleet.allNodesSee(() => 'alive')
  fleet.crash(5)
  const removedAfter = fleet.runUntil(() => fleet.allNodesSee((_, member) => member.running ? 'alive' : 'unreachable'), 30_000)
  fleet.restart(5)
  const rejoinedAfter = fleet.runUntil(() => fleet.allNodesSee(() => 'alive'), 30_000)
  fleet.run(10_000)
  const isolatedDomain = fleet.domainOf(1)
  fleet.isolateDomain(isolatedDomain)
  fleet.resetCost()
  const isolatedAt = fleet.now
  const separatedAfter = fleet.runUntil(() => fleet.allNodesSee((reader, member) => (reader.failureDomain === isolatedDomain) === (member.failureDomain === isolatedDomain) ? 'alive' : 'unreachable'), 120_000)
  const isolatedBytesPerSecond = fleet.cost.bytes / nodes / ((fleet.now - isolatedAt) / 1_000)
  fleet.run(20_000)
  fleet.isolateDomain(null)
  fleet.resetCost()
  const reconnectedAt = fleet.now
  const healedAfter = fleet.runUntil(() => fleet.allNodesSee(() => 'alive'), 120_000)
  const healingBytesPerSecond = fleet.cost.bytes / nodes / ((fleet.now - reconnectedAt) / 1_000)
  return { nodes, formed, deadOutEverywhereMs: removedAfter, restartedAliveEverywhereMs: rejoinedAfter, cutSeenByAllMs: separatedAfter, cutSentBytesPerSecond: Math.round(isolatedBytesPerSecond), healedMs: healedAfter, healSentBytesPerSecond: Math.round(healingBytesPerSecond) }
}

const { values } = parseArgs({ options: { seed: { type: 'string', default: '1' }, sizes: { type: 'string', default: '9,50,150,380' }, json: { type: 'string' }, skip: { type: 'string', default: '' } } })
const seed = Number(values.seed)
const sizes = values.sizes.split(',').map(Number)
const report = {
  bench: 'membership',
  seed,
  bounds: BOUNDS,
  steady: values.skip === 'steady' ? [] : sizes.flatMap((nodes) => [false, true].map((changing) => measureSteady(nodes, seed, changing))),
  faults: values.skip === 'faults' ? [] : sizes.map((nodes) => measureFaults(nodes, seed))
}
const text = JSON.stringify(report, null, 2)
if (values.json !== undefined) writeFileSync(values.json, text)
console.log(text)
