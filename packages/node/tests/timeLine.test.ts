import test from 'ava'
import fc from 'fast-check'
import { EventKind, HybridClock, REQUEST_KINDS, decodeEvent, encodeStamp, stampOf } from '@bluebellhill/protocol'
import type { NodeId, OrganisationId, RequestId, RunnerId, FailureDomain } from '@bluebellhill/domain'

import { QueryError, RingBuffer, TimeLine, parseEventFilter, timeLineReply } from '../src/index.js'

const NODE = 'n1' as NodeId
const DOMAIN = 'sohar' as FailureDomain
const KINDS = [EventKind.FirstToken, EventKind.LeaseWon] as const

const openTimeLine = (requests: number, fleet: number) => new TimeLine(NODE, new HybridClock(() => 1_000), { requests, fleet })

const entry = fc.record({
  kind: fc.constantFrom(...KINDS),
  request: fc.constantFrom('r1', 'r2', 'r3'),
  organisation: fc.constantFrom('o1', 'o2'),
  runner: fc.option(fc.constantFrom('g1', 'g2'), { nil: undefined })
})
type Entry = typeof entry extends fc.Arbitrary<infer Value> ? Value : never

const recordAll = (timeLine: TimeLine, entries: readonly Entry[]): bigint[] => entries.map((value) => timeLine.record(
  value.kind as typeof EventKind.FirstToken,
  { request: value.request as RequestId, organisation: value.organisation as OrganisationId, runner: value.runner as RunnerId | undefined },
  'test',
  { elapsed: 1 }
))

test('a ring buffer keeps the newest entries up to its capacity', (t) => {
  fc.assert(fc.property(fc.integer({ min: 1, max: 20 }), fc.array(fc.integer(), { maxLength: 100 }), (capacity, values) => {
    const ring = new RingBuffer<number>(capacity)
    for (const value of values) ring.add(value)
    const kept = values.slice(-capacity)
    return ring.toArray().join() === kept.join() && ring.size === kept.length && ring.overwritten === values.length - kept.length
  }), { seed: 631, numRuns: 1_000 })
  t.throws(() => new RingBuffer(0), { instanceOf: RangeError })
})

test('events of requests do not overwrite events of the fleet', (t) => {
  const timeLine = openTimeLine(10, 10)
  timeLine.record(EventKind.LeaseWon, {}, 'first vote', { lease: 'placement', fencing: '7' })
  for (let event = 0; event < 1_000; event += 1) timeLine.record(EventKind.FirstToken, {}, 'streaming', { elapsed: 1 })
  t.is(timeLine.size, 11)
  t.is(timeLine.overwritten, 990)
  t.is(timeLine.query({ kinds: [EventKind.LeaseWon] }).events.length, 1)
})

test('a query returns the same events as a linear search of the stored events', (t) => {
  const filter = fc.record({
    request: fc.constantFrom('r1', 'r2'),
    organisation: fc.constantFrom('o1', 'o2'),
    runner: fc.constantFrom('g1', 'g2'),
    kind: fc.constantFrom(...KINDS),
    after: fc.nat(60),
    limit: fc.integer({ min: 1, max: 20 })
  }, { requiredKeys: [] })
  fc.assert(fc.property(fc.array(entry, { maxLength: 60 }), filter, (entries, wanted) => {
    const timeLine = openTimeLine(15, 9)
    const stamps = recordAll(timeLine, entries)
    const after = wanted.after === undefined ? undefined : stamps[wanted.after]
    const kept = (requests: boolean, capacity: number) => entries
      .map((value, index) => ({ ...value, stamp: stamps[index]! }))
      .filter((value) => REQUEST_KINDS.has(value.kind) === requests)
      .slice(-capacity)
    const found = [...kept(true, 15), ...kept(false, 9)]
      .filter((value) => wanted.request === undefined || value.request === wanted.request)
      .filter((value) => wanted.organisation === undefined || value.organisation === wanted.organisation)
      .filter((value) => wanted.runner === undefined || value.runner === wanted.runner)
      .filter((value) => wanted.kind === undefined || value.kind === wanted.kind)
      .filter((value) => after === undefined || value.stamp > after)
      .map((value) => value.stamp)
      .sort((left, right) => left < right ? -1 : 1)
    const limit = wanted.limit ?? found.length
    const expected = after === undefined ? found.slice(Math.max(0, found.length - limit)) : found.slice(0, limit)
    const { kind, ...rest } = wanted
    const result = timeLine.query({ ...rest, after, kinds: kind === undefined ? undefined : [kind] })
    return result.events.map((event) => event.stamp).join() === expected.join() && result.truncated === (expected.length < found.length)
  }), { seed: 632, numRuns: 2_000 })
  t.pass()
})

test('the admin reply applies the query string and can be decoded from JSON', (t) => {
  const timeLine = openTimeLine(100, 100)
  const stamps = recordAll(timeLine, [
    { kind: EventKind.FirstToken, request: 'r1', organisation: 'o1', runner: 'g1' },
    { kind: EventKind.LeaseWon, request: 'r1', organisation: 'o1', runner: 'g1' },
    { kind: EventKind.FirstToken, request: 'r2', organisation: 'o1', runner: undefined }
  ])
  const read = (text: string) => JSON.parse(JSON.stringify(timeLineReply(timeLine, DOMAIN, new URLSearchParams(text))))
  t.is(read('').events.length, 3)
  t.is(read('request=r1&kind=lease_won').events.length, 1)
  t.is(read(`after=${encodeStamp(stamps[0]!)}`).events.length, 2)
  t.true(read('limit=1').truncated)
  t.is(decodeEvent(read('request=r2').events[0])?.request, 'r2' as RequestId)
})

test('an invalid query string is refused with a QueryError that has a message, never with another error', (t) => {
  fc.assert(fc.property(fc.dictionary(fc.constantFrom('after', 'before', 'limit', 'kind', 'request'), fc.string()), (values) => {
    try {
      parseEventFilter(new URLSearchParams(values))
      return true
    } catch (error) {
      return error instanceof QueryError && error.message.length > 10
    }
  }), { seed: 633, numRuns: 2_000 })
  t.throws(() => parseEventFilter(new URLSearchParams('limit=0')), { instanceOf: QueryError })
  t.throws(() => parseEventFilter(new URLSearchParams('kind=nothing')), { instanceOf: QueryError })
  t.throws(() => parseEventFilter(new URLSearchParams('after=99999999999999999999')), { instanceOf: QueryError })
})

test('a listener is called with events until it is disposed', (t) => {
  const timeLine = openTimeLine(10, 10)
  const receivedKinds: string[] = []
  const listening = timeLine.onEvent((event) => receivedKinds.push(event.kind))
  timeLine.record(EventKind.NodeStopping, {}, 'asked to', { inProgress: 2 })
  void listening.dispose()
  timeLine.record(EventKind.NodeStopped, {}, 'all done', {})
  t.deepEqual(receivedKinds, [EventKind.NodeStopping])
})

test('a peer with a wrong clock is recorded once per interval, not for each of its messages', (t) => {
  let wall = 1_000_000
  const timeLine = new TimeLine(NODE, new HybridClock(() => wall, 1_000), { requests: 10, fleet: 10 })
  const ahead = () => stampOf(wall + 5_000)
  t.true(timeLine.stampReceived(stampOf(wall), 'n2').followed)
  t.false(timeLine.stampReceived(ahead(), 'n2').followed)
  timeLine.stampReceived(ahead(), 'n2')
  timeLine.stampReceived(ahead(), 'n3')
  wall += 60_000
  timeLine.stampReceived(ahead(), 'n2')
  const named = timeLine.query({ kinds: [EventKind.ClockDistrusted] }).events
  t.deepEqual(named.map((event) => event.payload), ['n2', 'n3', 'n2'].map((member) => ({ member, ahead: 5_000 })))
})
