/** Benchmark of idempotency keys: claims per second on nine nodes, with a key-value service limited to a few hundred writes per second. */
import { writeFile } from 'node:fs/promises'
import { setTimeout as sleep } from 'node:timers/promises'

import { build } from 'hdr-histogram-js'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { defineCommand, runMain } from 'citty'

import { OutcomeKind, Ran } from '@bluebellhill/domain'
import type { NodeId, OrganisationId } from '@bluebellhill/domain'
import { HttpKeyValueService, HttpPool } from '@bluebellhill/services'

import { monotonicNow } from '../src/clock/monotonic.js'
import { IdempotencyService } from '../src/idempotency/index.js'
import { startStandin } from './standinProcess.js'

const NODES = 9
const STORE_WRITES_PER_SECOND = 300
const OFFERED_CLAIMS_PER_SECOND = 3_600
const MIN_CLAIMS_PER_SECOND = 3_000
const MAX_TRANSACTION_BYTES = 1_048_576
const ROUND_MS = 10
const WARM_UP_MS = 2_000
const RETENTION_MS = 3_600_000
const REPEATED_SHARE = 0.02
const ANSWER = 'x'.repeat(200)

interface Counts {
  claimed: number
  replayed: number
  other: Record<string, number>
}

const openServices = (address: string, seed: number): IdempotencyService[] => Array.from({ length: NODES }, (_, index) => {
  const service = new IdempotencyService({
    node: `node-${index}` as NodeId,
    keyValue: new HttpKeyValueService(new HttpPool(), [address]),
    rng: xoroshiro128plus(seed + index),
    retention: RETENTION_MS,
    clock: monotonicNow,
    wallClock: Date.now,
    report: () => {}
  })
  service.setWriteShare(STORE_WRITES_PER_SECOND, NODES)
  return service
})

const measure = async (services: readonly IdempotencyService[], seconds: number): Promise<{ counts: Counts, latency: ReturnType<typeof build>, elapsed: number }> => {
  const counts: Counts = { claimed: 0, replayed: 0, other: {} }
  const latency = build({ highestTrackableValue: 10_000_000, numberOfSignificantValueDigits: 3 })
  const start = monotonicNow()
  const measuredFrom = start + WARM_UP_MS
  const measuredUntil = measuredFrom + seconds * 1_000
  let sent = 0
  const claimOnce = async (index: number): Promise<void> => {
    const repeated = index % Math.round(1 / REPEATED_SHARE) === 0
    const service = services[index % services.length]!
    const startedAt = monotonicNow()
    const result = await service.claim({ organisation: 'bench' as OrganisationId, key: `key-${repeated ? Math.floor(index / 7) : index}`, body: 'order', timeLimit: 60_000 })
    const now = monotonicNow()
    if (result.type === 'claimed') service.conclude(result.claim, { type: 'done', outcome: { kind: OutcomeKind.Answered, ran: Ran.Yes, answer: ANSWER } })
    if (now < measuredFrom || now > measuredUntil) return
    latency.recordValue(Math.max(1, Math.round((now - startedAt) * 1_000)))
    if (result.type === 'claimed') counts.claimed += 1
    else if (result.type === 'replay') counts.replayed += 1
    else counts.other[result.type] = (counts.other[result.type] ?? 0) + 1
  }
  while (monotonicNow() < measuredUntil) {
    const due = Math.floor((monotonicNow() - start) * OFFERED_CLAIMS_PER_SECOND / 1_000)
    for (; sent < due; sent += 1) void claimOnce(sent)
    await sleep(ROUND_MS)
  }
  return { counts, latency, elapsed: seconds }
}

const main = defineCommand({
  meta: { name: 'claims', description: 'Claims of idempotency keys per second' },
  args: {
    seed: { type: 'string', default: '1', description: 'Seed of the random generators' },
    seconds: { type: 'string', default: '10', description: 'Duration of the measurement in seconds' },
    json: { type: 'string', default: '', description: 'File to write the results to' }
  },
  run: async ({ args }) => {
    const store = await startStandin('key-value', '--writes-per-second', String(STORE_WRITES_PER_SECOND))
    const services = openServices(store.address, Number(args.seed))
    const { counts, latency, elapsed } = await measure(services, Number(args.seconds))
    await Promise.all(services.map(async (service) => await service.waitUntilConcluded(20_000)))
    const ledger = await store.ledger() as { calls: { kinds: Record<string, { calls: number, bytes: number }> } }
    const { calls, bytes } = ledger.calls.kinds.txn!
    const figures = {
      offeredPerSecond: OFFERED_CLAIMS_PER_SECOND,
      claimsPerSecond: Math.round(counts.claimed / elapsed),
      replaysPerSecond: Math.round(counts.replayed / elapsed),
      otherResults: counts.other,
      claimMsP50: latency.getValueAtPercentile(50) / 1_000,
      claimMsP99: latency.getValueAtPercentile(99) / 1_000,
      storeTransactions: calls,
      bytesPerTransaction: Math.round(bytes / calls),
      cachedBytesPerNode: Math.max(...services.map((service) => service.cachedBytes)),
      keysLeft: services.reduce((sum, service) => sum + service.size, 0),
      memoryBytes: process.memoryUsage().rss
    }
    const report = {
      bench: 'claims',
      seed: Number(args.seed),
      figures,
      bounds: [{ name: 'claimsPerSecond', least: MIN_CLAIMS_PER_SECOND, met: figures.claimsPerSecond >= MIN_CLAIMS_PER_SECOND }, { name: 'bytesPerTransaction', most: MAX_TRANSACTION_BYTES, met: figures.bytesPerTransaction <= MAX_TRANSACTION_BYTES }]
    }
    const text = JSON.stringify(report, null, 2)
    if (args.json !== '') await writeFile(args.json, text)
    console.log(text)
    store.stop()
    process.exit(report.bounds.every(({ met }) => met) ? 0 : 1)
  }
})

await runMain(main)
