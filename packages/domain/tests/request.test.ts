import test from 'ava'

import { OutcomeKind, Ran, Request, RetryBudget } from '../src/index.js'
import type { Grant, RequestEffect, RequestSpec } from '../src/index.js'
import { attempt, node, runner, spec } from './fixtures.js'

const grantOf = (name: string, runnerName: string, validFor = 2_000): Grant =>
  ({ attempt: attempt(name), entry: node('entry'), runner: runner(runnerName), validFor, priority: 0, reason: '', group: [] })

const sentRequest = (changes: Partial<RequestSpec> = {}): Request => {
  const request = new Request(spec(changes), { retryBudget: new RetryBudget() })
  request.handle({ type: 'admitted' }, 0)
  request.handle({ type: 'granted', dispatcher: node('d'), grant: grantOf('r.1', 'a') }, 1)
  request.handle({ type: 'sending', attempt: attempt('r.1') }, 2)
  return request
}

const typesOf = (effects: readonly RequestEffect[]): readonly string[] => effects.map((effect) => effect.type)

test('a complete answer finishes the request', (t) => {
  const request = sentRequest()
  t.is(request.accept(attempt('r.1'), 0, 8, 3), 0)
  t.deepEqual(typesOf(request.handle({ type: 'completed', attempt: attempt('r.1'), generated: 8 }, 4)), ['finish'])
  t.deepEqual(request.outcome, { kind: OutcomeKind.Answered, ran: Ran.Yes })
})

test('an overlapping chunk is trimmed; a chunk of another attempt or after a gap is dropped', (t) => {
  const request = sentRequest()
  t.is(request.accept(attempt('r.1'), 0, 3, 3), 0)
  t.is(request.accept(attempt('r.1'), 1, 4, 3), 2)
  t.is(request.accept(attempt('r.1'), 0, 5, 3), -1)
  t.is(request.accept(attempt('r.1'), 6, 1, 3), -1)
  t.is(request.accept(attempt('x.1'), 5, 1, 3), -1)
  t.is(request.generated, 5)
})

test('after a broken connection the attempt resumes on the same runner; after a failed runner the request continues on another', (t) => {
  const request = sentRequest()
  request.accept(attempt('r.1'), 0, 3, 3)
  const broken = { type: 'broken', attempt: attempt('r.1'), started: Ran.Yes, reason: 'reset', retryAfter: null } as const
  const [resumed] = request.handle({ ...broken, resumable: true }, 4)
  t.like(resumed, { type: 'send', mode: 'resume', generated: 3 })
  const effects = request.handle({ ...broken, resumable: false }, 5)
  t.deepEqual(typesOf(effects), ['cancel', 'seek'])
  t.like(effects[1], { attempt: attempt('r.2'), excluded: [runner('a')], generated: 3 })
  const [sent] = request.handle({ type: 'granted', dispatcher: node('d'), grant: grantOf('r.2', 'b') }, 6)
  t.like(sent, { type: 'send', mode: 'continue', generated: 3 })
  request.handle({ type: 'sending', attempt: attempt('r.2') }, 7)
  t.is(request.accept(attempt('r.1'), 3, 1, 8), -1)
  t.is(request.accept(attempt('r.2'), 0, 1, 8), 0)
  t.is(request.generated, 4)
})

test('a non-idempotent request whose bytes were sent is not sent again', (t) => {
  const request = sentRequest({ idempotent: false })
  const effects = request.handle({ type: 'broken', attempt: attempt('r.1'), started: Ran.Unknown, resumable: false, reason: 'reset', retryAfter: null }, 4)
  t.deepEqual(typesOf(effects), ['cancel', 'finish'])
  t.like(request.outcome, { kind: OutcomeKind.AnswerLost, ran: Ran.Unknown })
})

test('an expired grant is not used', (t) => {
  const request = new Request(spec(), { retryBudget: new RetryBudget() })
  request.handle({ type: 'admitted' }, 0)
  request.handle({ type: 'granted', dispatcher: node('d'), grant: grantOf('r.1', 'a', 100) }, 1)
  t.deepEqual(typesOf(request.handle({ type: 'sending', attempt: attempt('r.1') }, 101)), ['cancel', 'seek'])
})

test('the deadline ends the request', (t) => {
  const request = sentRequest()
  t.deepEqual(typesOf(request.handle({ type: 'timer' }, 10_000)), ['cancel', 'finish'])
  t.like(request.outcome, { kind: OutcomeKind.DeadlinePassed, ran: Ran.Unknown })
})

test('runners that failed the request become eligible again when there are no others', (t) => {
  const request = sentRequest()
  request.handle({ type: 'broken', attempt: attempt('r.1'), started: Ran.No, resumable: false, reason: 'refused', retryAfter: null }, 4)
  const refused = { type: 'refused', attempt: attempt('r.2'), kind: OutcomeKind.NoRunner, retryAfter: 0, reason: 'no runner' } as const
  const seek = request.handle(refused, 5).find((effect) => effect.type === 'seek')
  t.like(seek, { excluded: [] })
})
