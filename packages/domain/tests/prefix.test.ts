import test from 'ava'
import fc from 'fast-check'

import { Dispatcher, LengthAware, Router } from '../src/index.js'
import type { CacheEvent, DispatcherState, DispatchOrder, NodeId } from '../src/index.js'
import { PrefixIndex } from '../src/dispatch/PrefixIndex.js'
import { DOMAIN, node, order, report, runner } from './fixtures.js'
import { seededRandom } from './random.js'

const SEED = 20_261_203
const BLOCK = 256

const event: fc.Arbitrary<CacheEvent> = fc.oneof(
  fc.record({ kind: fc.constant('stored' as const), blocks: fc.array(fc.constantFrom('a', 'b', 'c', 'd', 'e', 'f'), { maxLength: 4 }) }),
  fc.record({ kind: fc.constant('removed' as const), blocks: fc.array(fc.constantFrom('a', 'b', 'c', 'd', 'e', 'f'), { maxLength: 4 }) }),
  fc.record({ kind: fc.constant('cleared' as const) })
)

test('after a gap the index contains only blocks that later events stored', (t) => {
  fc.assert(fc.property(fc.array(event), fc.array(event), (before, after) => {
    const index = new PrefixIndex()
    index.apply(before, false)
    index.apply(after, true)
    const fresh = new PrefixIndex()
    fresh.apply(after, false)
    return ['a', 'b', 'c', 'd', 'e', 'f'].every((block) => index.match([block], BLOCK) === fresh.match([block], BLOCK))
  }), { seed: SEED, numRuns: 500 })
  t.pass()
})

test('a prefix matches up to its first missing block', (t) => {
  const index = new PrefixIndex()
  index.apply([{ kind: 'stored', blocks: ['a', 'b', 'd'] }], false)
  t.is(index.match(['a', 'b', 'c', 'd'], BLOCK), 2 * BLOCK)
  index.apply([{ kind: 'removed', blocks: ['a'] }], false)
  t.is(index.match(['a', 'b'], BLOCK), 0)
})

test('the index keeps a limited number of blocks', (t) => {
  const index = new PrefixIndex()
  for (let block = 0; block < 200_000; block += 1_000) {
    index.apply([{ kind: 'stored', blocks: Array.from({ length: 1_000 }, (_, offset) => `${block + offset}`) }], false)
  }
  t.true(index.size <= 65_536)
  t.is(index.match(['199999'], BLOCK), BLOCK)
})

test('of two idle runners the one with the cached prefix is chosen', (t) => {
  const dispatcher = new Dispatcher({ node: node('d'), policy: new LengthAware() })
  for (const name of ['a', 'b']) {
    dispatcher.handle({ type: 'runner_assigned', runner: runner(name), failureDomain: DOMAIN }, 0)
    dispatcher.handle({ type: 'runner_reported', runner: runner(name), report: report() }, 0)
  }
  const prefix = ['p0', 'p1', 'p2', 'p3']
  dispatcher.handle({ type: 'cache_changed', runner: runner('b'), gap: false, events: [{ kind: 'stored', blocks: prefix }] }, 0)
  const [effect] = dispatcher.handle({ type: 'ordered', order: order('r.1', { prefix, promptTokens: 2_000 }) }, 1)
  t.like(effect, { type: 'grant', grant: { runner: runner('b') } })
})

/** Simulates a skewed use of 60 prefixes over nine dispatchers whose gossiped waits lag behind. */
export const simulateAffinity = (withAffinity: boolean): { readonly hitRate: number, readonly hottest: number } => {
  const random = seededRandom(SEED)
  const router = new Router({ random: seededRandom(SEED + 1) })
  const names = Array.from({ length: 9 }, (_, index) => node(`n${index}`))
  const load = new Map<NodeId, number>(names.map((name) => [name, 0]))
  const seen = new Map<NodeId, Set<string>>(names.map((name) => [name, new Set()]))
  const sums = new Map<NodeId, number>(names.map((name) => [name, 0]))
  let [hits, total] = [0, 0]
  let states: DispatcherState[] = []
  for (let now = 0; now < 60_000; now += 10) {
    for (const name of names) load.set(name, Math.max(0, load.get(name)! - 10))
    if (now % 500 === 0) {
      states = names.map((name) => ({
        node: name,
        failureDomain: DOMAIN,
        receivedAt: now,
        summaries: [{ model: 'm', runners: 2, freeTokens: 0, freeSlots: 8, largestPrompt: 400_000, queueDelay: Array(4).fill(load.get(name)!) as number[], prefillRate: 160_000 }]
      }))
    }
    const prefix = `p${Math.floor(60 * random() ** 2)}`
    const size: Pick<DispatchOrder, 'model' | 'promptTokens' | 'maxTokens' | 'prefix' | 'remaining'> = { model: 'm', promptTokens: 8_000, maxTokens: 16, prefix: withAffinity ? [prefix, `${prefix}.1`] : [], remaining: 60_000 }
    const chosen = router.choose(size, states, DOMAIN, [], now)
    if (typeof chosen !== 'string') continue
    const cached = seen.get(chosen)!
    if (now > 20_000) {
      total += 1
      if (cached.has(prefix)) hits += 1
      sums.set(chosen, sums.get(chosen)! + 1)
    }
    cached.delete(prefix)
    cached.add(prefix)
    if (cached.size > 10) cached.delete(cached.values().next().value!)
    load.set(chosen, load.get(chosen)! + 50)
  }
  return { hitRate: hits / total, hottest: Math.max(...sums.values()) / (total / 9) }
}

test('affinity raises the cache hit rate by half or more, and no dispatcher exceeds 1.25 times the mean load', (t) => {
  const affine = simulateAffinity(true)
  const chance = simulateAffinity(false)
  t.log(`hit rate ${affine.hitRate.toFixed(3)} against ${chance.hitRate.toFixed(3)}; hottest ${affine.hottest.toFixed(3)} times the mean`)
  t.true(affine.hitRate > 1.5 * chance.hitRate)
  t.true(affine.hottest <= 1.25)
})
