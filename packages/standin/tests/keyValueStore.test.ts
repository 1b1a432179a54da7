import test from 'ava'
import fc from 'fast-check'

import { KeyValueStore } from '../src/keyValue/KeyValueStore.js'
import type { Change, Operation } from '../src/keyValue/types.js'

const SEED = 20_261_206
const ALL = { key: '\0', end: '\0' }

const put = (key: string, value: string, lease: string | null = null): Operation => ({ type: 'put', key, value, lease })

const modified = (key: string, revision: number) => ({ key, target: 'MOD', result: 'EQUAL', wanted: revision } as const)

test('of racing writers exactly one wins each revision', (t) => {
  fc.assert(fc.property(fc.array(fc.integer({ min: 2, max: 5 }), { maxLength: 20 }), (races) => {
    const store = new KeyValueStore()
    for (const writers of races) {
      const seen = store.range({ key: 'k', end: null })[0]?.modRevision ?? 0
      const wins = Array.from({ length: writers }, (_, writer) =>
        store.transact([modified('k', seen)], [put('k', String(writer))]).succeeded)
      if (wins.filter(Boolean).length !== 1) return false
    }
    return store.revision === 1 + races.length
  }), { seed: SEED, numRuns: 300 })
  t.pass()
})

const write = fc.oneof(
  fc.record({ key: fc.constantFrom('a', 'b', 'c'), value: fc.string({ maxLength: 2 }) }),
  fc.record({ key: fc.constantFrom('a', 'b', 'c'), value: fc.constant(null) })
)

test('reads at an older revision and after a restore match what was there', (t) => {
  fc.assert(fc.property(fc.array(write, { maxLength: 25 }), fc.nat(25), (writes, target) => {
    const store = new KeyValueStore()
    const snapshots = new Map([[1, store.range(ALL)]])
    for (const { key, value } of writes) {
      store.transact([], [value === null ? { type: 'delete', range: { key, end: null } } : put(key, value)])
      snapshots.set(store.revision, store.range(ALL))
    }
    for (const [revision, entries] of snapshots) {
      if (JSON.stringify(store.range(ALL, revision)) !== JSON.stringify(entries)) return false
    }
    const revision = Math.max(1, Math.min(target, store.revision))
    store.restore(revision)
    return JSON.stringify(store.range(ALL)) === JSON.stringify(snapshots.get(revision)) && store.revision === revision
  }), { seed: SEED, numRuns: 300 })
  t.pass()
})

test('a watch from a revision sees every change once, in order', (t) => {
  const store = new KeyValueStore()
  const seen: Change[] = []
  store.transact([], [put('a', '1')])
  store.transact([], [put('b', '1')])
  seen.push(...store.history({ key: 'a', end: 'b' }, 2))
  store.onChanges = (changes) => seen.push(...changes.filter(({ key }) => key === 'a'))
  store.transact([], [put('a', '2')])
  store.transact([], [{ type: 'delete', range: { key: 'a', end: null } }])
  t.deepEqual(seen.map(({ revision, entry }) => [revision, entry?.value ?? null]), [[2, '1'], [4, '2'], [5, null]])
})

test('a lease takes its keys with it when it expires', (t) => {
  const store = new KeyValueStore()
  const lease = store.grant(2, 0)
  store.transact([], [put('mine', 'x', lease.id), put('other', 'y')])
  t.truthy(store.keepAlive(lease.id, 1_500))
  store.expire(3_000)
  t.is(store.range({ key: 'mine', end: null }).length, 1)
  store.expire(3_500)
  t.deepEqual(store.range(ALL).map(({ key }) => key), ['other'])
  t.is(store.keepAlive(lease.id, 3_600), null)
  t.throws(() => store.transact([], [put('mine', 'x', lease.id)]))
})

test('a failed compare writes nothing', (t) => {
  const store = new KeyValueStore()
  const { succeeded, results } = store.transact([modified('k', 7)], [put('k', 'v')], [{ type: 'range', range: ALL, limit: 0 }])
  t.false(succeeded)
  t.is(results[0]!.type, 'range')
  t.is(store.revision, 1)
})
