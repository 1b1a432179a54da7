/** Cost of membership and gossip a node at several fleet sizes: `node dist/bench/membership.js [--seed S] [--sizes 9,380] [--json FILE]`. */
import { writeFileSync } from 'node:fs'
import { parseArgs } from 'node:util'

import { MemberFleet } from './memberFleet.js'

const MODELS = 8
const WARM_UP = 40_000
const MEASURED = 30_000
const CONFIGURATION_PERIOD = 15_000
const BOUNDS = { coreShare: 0.017, memoryBytes: 128 * 1024 * 1024, bytesPerSecond: 7_000 }

const domainsOf = (nodes: number): number => nodes >= 150 ? 5 : 3

const quantile = (sorted: readonly number[], share: number): number | null =>
  sorted[Math.min(sorted.length - 1, Math.floor(share * sorted.length))] ?? null

const heap = (): number => {
  globalThis.gc?.()
  return process.memoryUsage().heapUsed
}

const measureSteady = (nodes: number, seed: number, changing: boolean): object => {
  const before = heap()
  const fleet = new MemberFleet({ nodes, domains: domainsOf(nodes), seed })
  let revision = 0
  const each = (): void => {
    if (changing) fleet.publishSummaries(MODELS)
    if (changing && fleet.now % 2_000 === 0) fleet.publishAggregates(MODELS)
    if (fleet.now % CONFIGURATION_PERIOD === 0) fleet.publishRevision(1, ++revision)
  }
  fleet.publishSummaries(MODELS)
  fleet.run(WARM_UP, each)
  fleet.resetCost()
  fleet.run(MEASURED / 3, each)
  fleet.crash(nodes - 1)
  fleet.run(MEASURED / 3, each)
  fleet.restart(nodes - 1)
  fleet.run(MEASURED / 3, each)
  const memory = heap() - before
  const { decideMs, codecMs, datagrams, bytes, largest, oversized } = fleet.cost
  const perNodeSecond = nodes * MEASURED / 1_000
  const own = fleet.ages('summary/', true)
  const others = fleet.ages('aggregate/', false)
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
    summaryAgeMs: changing ? { values: own.length, p50: quantile(own, 0.5), p95: quantile(own, 0.95), max: own.at(-1) ?? null } : null,
    aggregateAgeMs: changing ? { p50: quantile(others, 0.5), p95: quantile(others, 0.95), max: others.at(-1) ?? null } : null
  }
}

const measureFaults = (nodes: number, seed: number): object => {
  const fleet = new MemberFleet({ nodes, domains: domainsOf(nodes), seed })
  fleet.run(WARM_UP)
  const formed = fleet.sees(() => 'alive')
  fleet.crash(5)
  const removed = fleet.runUntil(() => fleet.sees((_, member) => member.running ? 'alive' : 'unreachable'), 30_000)
  fleet.restart(5)
  const rejoined = fleet.runUntil(() => fleet.sees(() => 'alive'), 30_000)
  fleet.run(10_000)
  const cut = fleet.domainOf(1)
  fleet.cutOff(cut)
  fleet.resetCost()
  const cutStart = fleet.now
  const separated = fleet.runUntil(() => fleet.sees((reader, member) => (reader.failureDomain === cut) === (member.failureDomain === cut) ? 'alive' : 'unreachable'), 120_000)
  const cutBytes = fleet.cost.bytes / nodes / ((fleet.now - cutStart) / 1_000)
  fleet.run(20_000)
  fleet.cutOff(null)
  fleet.resetCost()
  const healStart = fleet.now
  const healed = fleet.runUntil(() => fleet.sees(() => 'alive'), 120_000)
  const healBytes = fleet.cost.bytes / nodes / ((fleet.now - healStart) / 1_000)
  return { nodes, formed, deadOutEverywhereMs: removed, restartedAliveEverywhereMs: rejoined, cutSeenByAllMs: separated, cutSentBytesPerSecond: Math.round(cutBytes), healedMs: healed, healSentBytesPerSecond: Math.round(healBytes) }
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
