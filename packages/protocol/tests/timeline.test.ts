import test from 'ava'
import fc from 'fast-check'

import { EventKind, compareEvents, cut, decodeEvent, encodeEvent, matches, mergeEvents } from '../src/index.js'
import type { EventFilter, TimeLineEvent } from '../src/index.js'
import { historyOf, runHistory } from './causalHistory.js'

const event = (stamp: bigint, node: string, request = 'r1'): TimeLineEvent => ({
  stamp,
  node,
  kind: EventKind.FirstToken,
  request,
  reason: 'streaming',
  payload: { elapsed: 5 }
}) as unknown as TimeLineEvent

const eventList = fc.array(fc.record({ stamp: fc.bigInt(0n, 40n), node: fc.constantFrom('a', 'b', 'c'), request: fc.constantFrom('r1', 'r2') }), { maxLength: 60 })
  .map((list) => list.map((entry) => event(entry.stamp, entry.node, entry.request)))

test('merged over nodes, a cause never stands after its effect', (t) => {
  fc.assert(fc.property(historyOf(5_000), (history) => {
    const stamped = runHistory(history, 600_000)
    const lists = [0, 1, 2, 3, 4].map((actor) => stamped.filter((entry) => entry.actor === actor).map((entry) => event(entry.stamp, `n${actor}`)))
    const merged = mergeEvents(lists)
    const place = new Map(merged.map((entry, index) => [`${entry.node} ${entry.stamp}`, index]))
    const placeOf = (index: number): number => place.get(`n${stamped[index]!.actor} ${stamped[index]!.stamp}`)!
    return merged.length === stamped.length &&
      stamped.every((entry, index) => entry.causes.every((cause) => placeOf(cause) < placeOf(index)))
  }), { seed: 611, numRuns: 1_000 })
  t.pass()
})

test('merging is the same for every order and repetition of the lists', (t) => {
  fc.assert(fc.property(eventList, eventList, eventList, (a, b, c) => {
    const names = (list: readonly TimeLineEvent[]) => list.map((entry) => `${entry.stamp} ${entry.node}`).join()
    const merged = mergeEvents([a, b, c])
    return names(merged) === names(mergeEvents([c, a, b, a])) &&
      merged.every((entry, index) => index === 0 || compareEvents(merged[index - 1]!, entry) < 0)
  }), { seed: 612, numRuns: 500 })
  t.pass()
})

test('an event survives JSON', (t) => {
  fc.assert(fc.property(fc.bigInt(0n, 2n ** 64n - 1n), (stamp) => {
    const decoded = decodeEvent(JSON.parse(JSON.stringify(encodeEvent(event(stamp, 'a')))))
    return decoded !== undefined && decoded.stamp === stamp && decoded.kind === EventKind.FirstToken
  }), { seed: 613, numRuns: 500 })
  t.pass()
})

test('anything else in JSON is passed over without an error', (t) => {
  fc.assert(fc.property(fc.jsonValue(), fc.string(), (value, stamp) => {
    const odd = { ...encodeEvent(event(1n, 'a')), stamp, kind: 'from_a_later_version' }
    return decodeEvent(value) === undefined && decodeEvent(odd) === undefined
  }), { seed: 614, numRuns: 1_000 })
  t.pass()
})

test('the limit keeps the newest events, or the oldest after a stamp', (t) => {
  const events = [1n, 2n, 3n, 4n].map((stamp) => event(stamp, 'a'))
  const stamps = (filter: EventFilter) => cut(events.filter((entry) => matches(entry, filter)), filter).map((entry) => entry.stamp)
  t.deepEqual(stamps({ limit: 2 }), [3n, 4n])
  t.deepEqual(stamps({ limit: 2, after: 1n }), [2n, 3n])
  t.deepEqual(stamps({ before: 3n }), [1n, 2n])
  t.deepEqual(stamps({ request: 'r2' }), [])
})
