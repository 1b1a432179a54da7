import test from 'ava'
import * as fc from 'fast-check'

import { MAX_ANSWER_DELAY, storeRevision, WatchedRevisions } from '../src/index.js'

const LATER = MAX_ANSWER_DELAY
const PREFIXES = ['a', 'b']

const watched = (revision: number): WatchedRevisions => {
  const revisions = new WatchedRevisions()
  for (const prefix of PREFIXES) revisions.answered(prefix, revision)
  return revisions
}

/** Two answers of the store that state the same revision. */
const shown = (revisions: WatchedRevisions, revision: number, from = 0): string[] => {
  revisions.storeAt(revision, from)
  return revisions.storeAt(revision, from + LATER)
}

test('a watch is reported if a change does not arrive for longer than an answer needs', (t) => {
  const revisions = watched(10)
  t.deepEqual(revisions.storeAt(11, 0), [])
  t.deepEqual(revisions.storeAt(11, LATER - 1), [])
  t.deepEqual(revisions.storeAt(11, LATER), PREFIXES)
})

test('a change that is being delivered while the store shows it is not reported', (t) => {
  const revisions = watched(10)
  t.deepEqual(revisions.storeAt(11, 0), [])
  revisions.answered('a', 11, [11])
  t.deepEqual(revisions.storeAt(11, LATER), [])
})

test('a revision that has arrived on one watch is no change of the other', (t) => {
  const revisions = watched(10)
  revisions.answered('a', 12, [11, 12])
  t.deepEqual(shown(revisions, 12), [])
  t.deepEqual(shown(revisions, 13), PREFIXES)
})

test('an answer without changes covers what the store had shown before', (t) => {
  const revisions = watched(10)
  t.deepEqual(shown(revisions, 11), PREFIXES)
  for (const prefix of PREFIXES) revisions.answered(prefix, 10)
  t.deepEqual(shown(revisions, 11, 1_000), [])
  t.deepEqual(shown(revisions, 12, 2_000), PREFIXES)
})

// Guards against a slow store whose answer to the repeated watch is cut off by the next report.
test('a watch is reported once until it is answered', (t) => {
  const revisions = watched(10)
  t.deepEqual(shown(revisions, 11), PREFIXES)
  t.deepEqual(shown(revisions, 12, 1_000), [])
  revisions.answered('a', 11, [11])
  t.deepEqual(shown(revisions, 12, 2_000), ['a'])
})

test('a replica that is behind shows nothing', (t) => {
  t.deepEqual(shown(watched(10), 9), [])
  t.deepEqual(shown(watched(storeRevision(2, 10)), storeRevision(1, 50)), [])
})

// Guards against a missed change that is forgotten because the next answer comes from a replica that is behind.
test('a missed change is reported although later answers come from a replica that is behind', (t) => {
  const revisions = watched(10)
  t.deepEqual(revisions.storeAt(11, 0), [])
  t.true(revisions.isBehind)
  t.deepEqual(revisions.storeAt(9, LATER), PREFIXES)
  t.false(revisions.isBehind)
})

test('a change that arrives on another watch in the end is not missed any more', (t) => {
  const revisions = watched(10)
  t.deepEqual(revisions.storeAt(11, 0), [])
  revisions.answered('a', 11, [11])
  t.deepEqual(revisions.storeAt(11, 1), [])
  t.false(revisions.isBehind)
  t.deepEqual(revisions.storeAt(12, LATER), [])
})

test('a new era is reported, although its revisions are lower', (t) => {
  t.deepEqual(shown(watched(storeRevision(1, 10)), storeRevision(2, 3)), PREFIXES)
})

test('a prefix that is not watched is not reported', (t) => {
  const revisions = watched(10)
  revisions.ended('a')
  t.deepEqual(shown(revisions, 11), ['b'])
})

test('a prefix that has missed a change is reported, and none is if all changes have arrived', (t) => {
  const step = fc.record({ prefix: fc.constantFrom('a', 'b', 'c'), arrives: fc.boolean() })
  fc.assert(fc.property(fc.array(step, { maxLength: 30 }), (steps) => {
    const revisions = watched(100)
    const lost = new Set<string>()
    let revision = 100
    for (const { prefix, arrives } of steps) {
      revision += 1
      const isDelivered = prefix !== 'c' && arrives && !lost.has(prefix)
      if (isDelivered) revisions.answered(prefix, revision, [revision])
      else lost.add(prefix)
    }
    const missing = shown(revisions, revision)
    return [...lost].every((prefix) => prefix === 'c' || missing.includes(prefix)) && (lost.size > 0 || missing.length === 0)
  }), { seed: 17, numRuns: 500 })
  t.pass()
})
