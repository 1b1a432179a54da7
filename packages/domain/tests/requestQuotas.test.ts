import test from 'ava'
import * as fc from 'fast-check'

import { RequestQuotas, requestLimitShare } from '../src/index.js'
import type { FailureDomain, Quota, RunnerId } from '../src/index.js'

const SERVER = 'e0' as RunnerId
const MS_PER_SECOND = 1_000

const whole = (limit: number): Quota => ({ limit, share: 1, phase: 0 })

/** Sends whenever the quota allows it, at the given times. Returns the times at which a request was sent. */
const sendAt = (times: readonly number[], quotaAt: (now: number) => Quota, quotas = new RequestQuotas()): number[] => times.filter((now) => {
  const quota = quotaAt(now)
  if (quotas.waitTime(SERVER, quota, now) > 0) return false
  quotas.take(SERVER, quota, now)
  return true
})

const every = (period: number, until: number): number[] => Array.from({ length: Math.ceil(until / period) }, (_, index) => index * period)

const mostWithin = (times: readonly number[], window: number): number =>
  Math.max(0, ...times.map((from) => times.filter((at) => at >= from && at < from + window).length))

test('no window contains more requests than the limit and one second of it', (t) => {
  const gaps = fc.array(fc.integer({ min: 0, max: 700 }), { minLength: 1, maxLength: 300 })
  t.notThrows(() => fc.assert(fc.property(fc.integer({ min: 1, max: 200 }), gaps, (tenths, steps) => {
    const limit = tenths / 10
    const times = steps.reduce<number[]>((all, step) => [...all, (all.at(-1) ?? 0) + step], [])
    const sent = sendAt(times, () => whole(limit))
    return mostWithin(sent, 4 * MS_PER_SECOND) <= 4 * limit + Math.max(1, limit) + 1
  }), { seed: 22, numRuns: 200 }))
})

test('a steady stream of requests uses the whole limit', (t) => {
  const sent = sendAt(every(10, 60_000), () => whole(2.5))
  t.true(Math.abs(sent.length - 150) <= 3, `${sent.length}`)
})

test('a limit that is first heard of allows one request and no burst', (t) => {
  t.is(sendAt([0, 1, 2, 3, 4], () => whole(10)).length, 1)
})

test('a raised limit takes effect after one of its intervals', (t) => {
  const quotas = new RequestQuotas()
  sendAt([0], () => whole(0.1), quotas)
  t.true(quotas.waitTime(SERVER, whole(0.1), 0) > 9_000)
  t.true(quotas.waitTime(SERVER, whole(10), 0) <= 100)
})

test('a server that accepts nothing is asked again at times', (t) => {
  t.is(sendAt(every(100, 60_000), () => whole(0)).length, 6)
})

test('nodes that decide alone keep to the limit together, also when they begin at the same moment', (t) => {
  const count = 40
  const nodes = Array.from({ length: count }, (_, index) => ({ limit: 2, share: 1 / count, phase: (index + 0.5) / count }))
  const sent = nodes.flatMap((quota) => sendAt(every(50, 20_000), () => quota)).sort((a, b) => a - b)
  t.true(mostWithin(sent, 4 * MS_PER_SECOND) <= 1.5 * 2 * 4 + 5)
  t.true(sent.length >= 30)
})

test('the schedulers of all groups share the limit of a server', (t) => {
  const domains = ['d0', 'd1', 'd2', 'd3', 'd4'] as FailureDomain[]
  const shares = domains.map((domain) => requestLimitShare({ domain }, 'd2' as FailureDomain, domains.length))
  t.true(Math.abs(shares.reduce((sum, share) => sum + share) - 1) < 1e-9)
  t.is(requestLimitShare({ domain: null }, 'd2' as FailureDomain, 1), 1)
})

// Guards against a server that stated a limit of 400 digits once, and got requests beyond any limit that it stated later.
test('limits of any size leave the times of later ones known', (t) => {
  const anyLimit = fc.oneof(fc.double({ min: 0, noNaN: true }), fc.constantFrom(0, 5e-324, Number.MAX_VALUE, Infinity))
  const anyQuota = fc.record({ limit: anyLimit, share: fc.double({ min: 1e-6, max: 1, noNaN: true }), phase: fc.double({ min: 0, max: 1, noNaN: true }), burst: fc.option(fc.double({ min: 0, max: 10, noNaN: true }), { nil: undefined }) })
  t.notThrows(() => fc.assert(fc.property(fc.array(anyQuota, { minLength: 1, maxLength: 5 }), (odd) => {
    const quotas = new RequestQuotas()
    for (const quota of odd) {
      if (Number.isNaN(quotas.waitTime(SERVER, quota, 0))) return false
      quotas.take(SERVER, quota, 0)
    }
    return mostWithin(sendAt(every(50, 20_000), () => whole(2), quotas), 4 * MS_PER_SECOND) <= 4 * 2 + 2 + 1
  }), { seed: 43, numRuns: 500 }))
})
