/** Order, expiry, holds and bounds of the requests that wait, and the shares of organisations. */
import test from 'ava'
import fc from 'fast-check'

import { AdmissionQueue, MAX_COUNTED_ORGANISATIONS, OrganisationShares, RENEWAL_EXPIRY, releaseTime, RENEWAL_PERIOD, routeTimeout, waitLimits } from '../src/index.js'
import type { AdmissionEntry, NodeId, RunnerId } from '../src/index.js'
import { engines, ROUTE, SHORT, TestFleet, TIMING } from './forwardingFixtures.js'

const key = (number: number): AdmissionEntry['key'] => ({ node: 'n' as NodeId, startedAt: 1, number })

const entry = (number: number, changes: Partial<AdmissionEntry> = {}): AdmissionEntry =>
  ({ key: key(number), urgency: 1, organisation: '', latestStart: number, giveUpAt: 10_000, tokens: 1_000, work: 10, ...changes })

const queueOf = (entries: readonly AdmissionEntry[], maxLength?: number): AdmissionQueue<AdmissionEntry> => {
  const queue = new AdmissionQueue(maxLength)
  for (const waiting of entries) queue.add(waiting, 0, 0)
  return queue
}

const numbers = (entries: readonly AdmissionEntry[]): number[] => entries.map(({ key: { number } }) => number)

test('urgency comes first, then the share of the organisation, then the deadline', (t) => {
  const queue = queueOf([entry(1, { organisation: 'a' }), entry(2, { organisation: 'a' }), entry(3, { organisation: 'b' }), entry(4, { urgency: 0, latestStart: 900 }), entry(5, { organisation: 'b', latestStart: 0 })])
  t.deepEqual(numbers(queue.first(9, 0)), [4, 5, 1, 2, 3])
})

test('a request that comes again with the same number does not wait twice', (t) => {
  const queue = queueOf([entry(1)])
  t.true(queue.renew(key(1), 50, 50))
  queue.placed(key(1))
  queue.placed(key(1))
  t.deepEqual([queue.length, queue.renew(key(1), 60, 60), queue.shares.counterOf('')], [0, false, 10])
})

test('the same number of a process that has restarted is another request', (t) => {
  const queue = queueOf([entry(1), entry(1, { key: { ...key(1), startedAt: 2 } })])
  t.is(queue.length, 2)
})

// Guards against a place that is kept for a node that has died or was cut off.
test('a request that is not renewed for three periods is removed', (t) => {
  const queue = queueOf([entry(1), entry(2)])
  queue.renew(key(2), RENEWAL_PERIOD, RENEWAL_PERIOD)
  t.deepEqual(numbers(queue.removeExpired(RENEWAL_EXPIRY)), [])
  t.deepEqual(numbers(queue.removeExpired(RENEWAL_EXPIRY + 1)), [1])
})

// Guards against places that are given to nodes which went to another scheduler while this process was paused.
test('after a pause a request gets no place until it is renewed, and is not lost', (t) => {
  const queue = queueOf([entry(1), entry(2)])
  const now = 5_000
  t.deepEqual(numbers(queue.removeExpired(100)), [])
  t.deepEqual(numbers(queue.first(9, now)), [])
  queue.renew(key(2), now, 100)
  t.deepEqual(numbers(queue.first(9, now)), [2])
})

test('a request beyond the longest queue is refused: the last in order, not the last to come', (t) => {
  const queue = queueOf([entry(1), entry(9)], 2)
  t.is(queue.add(entry(5), 0, 0)?.key.number, 9)
  t.is(queue.add(entry(20), 0, 0)?.key.number, 20)
  t.deepEqual(numbers(queue.first(9, 0)), [1, 5])
})

test('a request whose caller can no longer be served is removed', (t) => {
  const queue = queueOf([entry(1, { giveUpAt: 100 }), entry(2)])
  t.deepEqual(numbers(queue.removeOverdue(100)), [])
  t.deepEqual(numbers(queue.removeOverdue(101)), [1])
})

test('held engines are closed to all but their holder and more urgent requests, and free again when it leaves', (t) => {
  const queue = queueOf([entry(1, { urgency: 3 }), entry(2, { urgency: 3 })])
  queue.hold(key(1), ['e1' as RunnerId])
  const seenBy = (number: number, urgency: number): string[] => [...queue.heldAgainst(key(number), urgency)]
  t.deepEqual([seenBy(7, 3), seenBy(7, 9), seenBy(2, 3), seenBy(1, 3), seenBy(7, 2)], [['e1'], ['e1'], ['e1'], [], []])
  t.deepEqual([1, 2].map((number) => queue.isHeldForOther('e1' as RunnerId, key(number))), [false, true])
  t.deepEqual(numbers(queue.before(entry(7, { urgency: 3 }))), [2])
  queue.remove(key(1))
  t.deepEqual([seenBy(7, 9), queue.heldCount], [[], 0])
})

test('an organisation that was idle has no advance over the others', (t) => {
  const shares = new OrganisationShares()
  shares.startWaiting('busy')
  for (let request = 0; request < 100; request += 1) shares.charge('busy', 10)
  t.is(shares.counterOf('idle'), 1_000)
})

test('an organisation that used idle capacity is not behind those that come later', (t) => {
  const shares = new OrganisationShares()
  for (let request = 0; request < 100; request += 1) shares.charge('early', 10)
  shares.charge('late', 10)
  t.true(shares.counterOf('early') - shares.counterOf('late') <= 10)
})

test('the number of counted organisations is bounded, and those that wait are kept', (t) => {
  const shares = new OrganisationShares()
  shares.startWaiting('waiting')
  shares.charge('waiting', 5)
  for (let index = 0; index < 3 * MAX_COUNTED_ORGANISATIONS; index += 1) shares.charge(`o${index}`, 1)
  t.is(shares.size, MAX_COUNTED_ORGANISATIONS)
  t.is(shares.counterOf('waiting'), 5)
})

test('a wait leaves time for the prefill, before the caller leaves and before the timeout', (t) => {
  const request = { size: { prompt: 5_000, mostAnswer: 1_500 }, objective: 300, dueAt: 1_300 }
  const prefill = TIMING.prefillTime(5_000)
  t.deepEqual(waitLimits(request, 10_000, TIMING, 20), { latestStart: 1_300 - prefill, giveUpAt: 3_000 - prefill })
  t.is(waitLimits(request, 900, TIMING, 20).giveUpAt, 1_900 - prefill)
  t.is(routeTimeout([ROUTE, { ...ROUTE, timeout: 8_000 }, { ...ROUTE, objective: 9, timeout: 1 }], 's', 300), 8_000)
})

test('the wait behind others follows from the memory and the duration of the requests in progress', (t) => {
  const fleet = new TestFleet(engines(2))
  const candidates = fleet.servers.map((server) => ({ server, slowdown: 1 }))
  const wait = (): number => releaseTime(50_000, { candidates, timing: TIMING, loads: fleet.assignments.serverLoads(0) })
  t.is(wait(), 0)
  fleet.place(SHORT, 0)
  const alone = wait()
  fleet.place(SHORT, 0)
  t.true(alone > 0 && Math.abs(wait() - alone / 2) < 1, `${alone}, ${wait()}`)
})

interface Step { readonly kind: 'add' | 'serve' | 'leave' | 'renew' | 'wait', readonly number: number, readonly urgency: number, readonly organisation: string, readonly work: number }

const STEP = fc.record({
  kind: fc.constantFrom<Step['kind'][]>('add', 'serve', 'leave', 'renew', 'wait'),
  number: fc.integer({ min: 1, max: 12 }),
  urgency: fc.integer({ min: 0, max: 2 }),
  organisation: fc.constantFrom('a', 'b', 'c'),
  work: fc.integer({ min: 1, max: 100 })
})

test('property: each request leaves the queue once, urgency decides, and none is lost', (t) => {
  fc.assert(fc.property(fc.array(STEP, { maxLength: 60 }), (steps) => {
    const queue = new AdmissionQueue(6)
    const waiting = new Map<number, AdmissionEntry>()
    let now = 0
    const left = (entries: ReadonlyArray<AdmissionEntry | null>): boolean => entries.every((gone) => gone === null || waiting.delete(gone.key.number))
    for (const { kind, number, ...rest } of steps) {
      if (kind === 'wait') now += RENEWAL_PERIOD
      if (kind === 'renew' && queue.renew(key(number), now, now) !== waiting.has(number)) return false
      if (kind === 'leave') left([queue.remove(key(number))])
      if (kind === 'add' && !waiting.has(number)) {
        const added = entry(number, { ...rest, latestStart: now + number })
        waiting.set(number, added)
        if (!left([queue.add(added, now, now)])) return false
      }
      if (!left(queue.removeExpired(now))) return false
      const [first] = kind === 'serve' ? queue.first(1, now) : []
      if (first !== undefined) {
        if ([...waiting.values()].some(({ urgency }) => urgency < first.urgency)) return false
        queue.placed(first.key)
        if (!left([first])) return false
      }
      if (queue.length !== waiting.size || queue.length > 6) return false
    }
    return true
  }), { seed: 1, numRuns: 500 })
  t.pass()
})

test('property: while others keep coming, each request of the same urgency gets its turn after a bounded amount of work', (t) => {
  fc.assert(fc.property(fc.integer({ min: 1, max: 400 }), fc.array(fc.integer({ min: 1, max: 50 }), { minLength: 200, maxLength: 200 }), (work, others) => {
    const queue = queueOf([entry(0, { organisation: 'large', work, latestStart: 500 })])
    let served = 0
    for (const [index, otherWork] of others.entries()) {
      queue.add(entry(index + 1, { organisation: `o${index % 4}`, work: otherWork, latestStart: index }), 0, 0)
      const [first] = queue.first(1, 0)
      if (first?.key.number === 0) return served <= 4 * 2 * 50
      served += first?.work ?? 0
      queue.placed(first!.key)
    }
    return false
  }), { seed: 2, numRuns: 200 })
  t.pass()
})
