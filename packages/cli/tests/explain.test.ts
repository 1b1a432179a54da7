import test from 'ava'
import fc from 'fast-check'
import { EventKind, codeOf } from '@bluebellhill/protocol'
import type { TimeLineEvent } from '@bluebellhill/protocol'

import { explain } from '../src/timeline/explain.js'
import { notablePaths, requestPaths, countTroubleEvents } from '../src/timeline/requestPaths.js'
import { eventsOf } from './arbitraryEvents.js'
import { BROKEN_REQUEST, REFUSED_REQUEST, SampleFleet, sampleRun } from './sampleFleet.js'

const eventsOfRequest = (request: string) => sampleRun().events.filter((event) => event.request === request)

test('a request that broke and was continued is explained from start to end', (t) => {
  const { sentences, advice, gaps } = explain(eventsOfRequest(BROKEN_REQUEST), [])
  const told = sentences.join(' ')
  t.regex(sentences[0]!, /^Node sohar-1 admitted it for organisation ledgers/)
  t.regex(told, /granted runner barka-g1 .* holds 40 of its 76 prefix blocks/)
  t.regex(told, /broke after 57 tokens: connection reset by the runner\./)
  t.regex(told, /continued on runner barka-g2 from token 57\./)
  t.regex(told, /A late answer of runner barka-g1 was dropped/)
  t.is(sentences[sentences.length - 1], 'It was answered whole after 18.2 s: 400 tokens in 2 attempts.')
  t.is(advice, null)
  t.deepEqual(gaps, [])
})

test('the explanation of a refusal names its code, whether the request ran, when to retry and what to do', (t) => {
  const { sentences, advice } = explain(eventsOfRequest(REFUSED_REQUEST), [])
  t.is(sentences[0], 'Node sohar-2 refused it as deadline_infeasible (1202); it did not run: the queue of its length class takes 41 s and its limit is 20 s. The caller was told to come back in 21.0 s.')
  t.is(advice, codeOf('deadline_infeasible').operator)
})

test('events that repeat an earlier event of the same attempt are left out', (t) => {
  const fleet = new SampleFleet()
  const subject = { request: 'r1', attempt: 'r1.1', runner: 'g1' }
  fleet.record('n2', EventKind.AttemptRecalled, subject, 'makes way for short prompts', { dispatcher: 'n2' })
    .record('n1', EventKind.AttemptRecalled, subject, 'the dispatcher wants the runner back', { dispatcher: 'domain:saham' })
    .record('n1', EventKind.AttemptCancelled, subject, 'recalled by the dispatcher', { generated: 0 })
    .record('n1', EventKind.AttemptCancelled, { ...subject, attempt: 'r1.2' }, 'the caller has gone', { generated: 0 })
  t.deepEqual(explain(fleet.events, []).sentences, [
    'Dispatcher n2 called the attempt on runner g1 back: makes way for short prompts.',
    'The attempt on runner g1 was cancelled: the caller has gone.'
  ])
})

test('missing events and nodes that did not answer are reported as gaps', (t) => {
  const events = eventsOfRequest(BROKEN_REQUEST)
  const { gaps } = explain(events.slice(1, -1), [{ address: '127.0.0.1:9', reason: 'no answer in time' }])
  t.is(gaps.length, 3)
  t.regex(gaps[0]!, /beginning/)
  t.regex(gaps[1]!, /No node holds its end/)
  t.regex(gaps[2]!, /127\.0\.0\.1:9/)
})

test('any events give complete sentences without missing values', (t) => {
  fc.assert(fc.property(eventsOf(['r1'], 30), (events) => {
    const plain = events.map((event) => ({ ...event, reason: 'a reason' }) as TimeLineEvent)
    const { sentences, gaps } = explain(plain, [])
    return [...sentences, ...gaps].every((sentence) => /^[A-Z].*\.$/.test(sentence) && !/undefined|NaN|null|unknown time/.test(sentence))
  }), { seed: 671, numRuns: 1_000 })
  t.pass()
})

test('events of another version with empty payloads are explained without an error', (t) => {
  fc.assert(fc.property(eventsOf(['r1'], 30), (events) => {
    const bare = events.map((event) => ({ ...event, payload: {} }) as unknown as TimeLineEvent)
    return explain(bare, []).sentences.every((sentence) => sentence.endsWith('.'))
  }), { seed: 672, numRuns: 500 })
  t.pass()
})

test('advice and gaps follow from the last end event', (t) => {
  fc.assert(fc.property(eventsOf(['r1'], 30), (events) => {
    const end = events.findLast((event) => event.kind === EventKind.RequestFinished || event.kind === EventKind.RequestRefused)
    const code = end === undefined ? undefined : codeOf((end.payload as { code: 'answered' }).code)
    const expected = code === undefined || code.name === 'answered' ? null : code.operator
    const { advice, gaps } = explain(events, [])
    return advice === expected && gaps.some((gap) => gap.includes('its end')) === (end === undefined)
  }), { seed: 673, numRuns: 1_000 })
  t.pass()
})

test('events are grouped into one path for each request, and paths with the most trouble are selected first', (t) => {
  fc.assert(fc.property(eventsOf(['r1', 'r2', 'r3'], 60), (events) => {
    const paths = requestPaths(events)
    const notable = notablePaths(paths, 2)
    return paths.reduce((sum, path) => sum + path.events.length, 0) === events.length &&
      paths.every((path) => path.events.every((event) => event.request === path.request)) &&
      notable.length === Math.min(2, paths.length) &&
      paths.filter((path) => !notable.includes(path)).every((path) => notable.every((shown) => countTroubleEvents(shown) >= countTroubleEvents(path)))
  }), { seed: 674, numRuns: 500 })
  t.pass()
})
