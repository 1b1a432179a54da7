import test from 'ava'

import { OutcomeKind, Ran, Request, RetryBudget } from '../src/index.js'
import type { Grant, RequestEffect, RequestSpec } from '../src/index.js'
import { attempt, node, runner, spec } from './fixtures.js'

const grantOf = (name: string, on: string, validFor = 2_000): Grant =>
  ({ attempt: attempt(name), entry: node('entry'), runner: runner(on), validFor, priority: 0, reason: '', group: [] })

const streaming = (changes: Partial<RequestSpec> = {}): Request => {
  const request = new Request(spec(changes), { retryBudget: new RetryBudget() })
  request.handle({ type: 'admitted' }, 0)
  request.handle({ type: 'granted', dispatcher: node('d'), grant: grantOf('r.1', 'a') }, 1)
  request.handle({ type: 'sending', attempt: attempt('r.1') }, 2)
  return request
}

const types = (effects: readonly RequestEffect[]): readonly string[] => effects.map((effect) => effect.type)

test('a whole answer finishes the request', (t) => {
  const request = streaming()
  t.is(request.accept(attempt('r.1'), 0, 8, 3), 0)
  t.deepEqual(types(request.handle({ type: 'completed', attempt: attempt('r.1'), generated: 8 }, 4)), ['finish'])
  t.deepEqual(request.outcome, { kind: OutcomeKind.Answered, ran: Ran.Yes })
})

test('a chunk that overlaps is cut, one of another attempt or with a hole before it is dropped', (t) => {
  const request = streaming()
  t.is(request.accept(attempt('r.1'), 0, 3, 3), 0)
  t.is(request.accept(attempt('r.1'), 1, 4, 3), 2)
  t.is(request.accept(attempt('r.1'), 0, 5, 3), -1)
  t.is(request.accept(attempt('r.1'), 6, 1, 3), -1)
  t.is(request.accept(attempt('x.1'), 5, 1, 3), -1)
  t.is(request.generated, 5)
})

test('a broken connection resumes on the same runner, a dead runner continues on another', (t) => {
  const request = streaming()
  request.accept(attempt('r.1'), 0, 3, 3)
  const broken = { type: 'broken', attempt: attempt('r.1'), started: Ran.Yes, reason: 'reset', retryAfter: null } as const
  const [resumed] = request.handle({ ...broken, resumable: true }, 4)
  t.like(resumed, { type: 'send', mode: 'resume', generated: 3 })
  const effects = request.handle({ ...broken, resumable: false }, 5)
  t.deepEqual(types(effects), ['cancel', 'seek'])
  t.like(effects[1], { attempt: attempt('r.2'), excluded: [runner('a')], generated: 3 })
  const [sent] = request.handle({ type: 'granted', dispatcher: node('d'), grant: grantOf('r.2', 'b') }, 6)
  t.like(sent, { type: 'send', mode: 'continue', generated: 3 })
  request.handle({ type: 'sending', attempt: attempt('r.2') }, 7)
  t.is(request.accept(attempt('r.1'), 3, 1, 8), -1)
  t.is(request.accept(attempt('r.2'), 0, 1, 8), 0)
  t.is(request.generated, 4)
})

test('a non-idempotent request whose bytes have left is not sent again', (t) => {
  const request = streaming({ idempotent: false })
  const effects = request.handle({ type: 'broken', attempt: attempt('r.1'), started: Ran.Unknown, resumable: false, reason: 'reset', retryAfter: null }, 4)
  t.deepEqual(types(effects), ['cancel', 'finish'])
  t.like(request.outcome, { kind: OutcomeKind.AnswerLost, ran: Ran.Unknown })
})

test('a lapsed grant is not used', (t) => {
  const request = new Request(spec(), { retryBudget: new RetryBudget() })
  request.handle({ type: 'admitted' }, 0)
  request.handle({ type: 'granted', dispatcher: node('d'), grant: grantOf('r.1', 'a', 100) }, 1)
  t.deepEqual(types(request.handle({ type: 'sending', attempt: attempt('r.1') }, 101)), ['cancel', 'seek'])
})

test('the deadline ends the request', (t) => {
  const request = streaming()
  t.deepEqual(types(request.handle({ type: 'timer' }, 10_000)), ['cancel', 'finish'])
  t.like(request.outcome, { kind: OutcomeKind.DeadlinePassed, ran: Ran.Unknown })
})

test('when only runners that failed the request are left, they get another chance', (t) => {
  const request = streaming()
  request.handle({ type: 'broken', attempt: attempt('r.1'), started: Ran.No, resumable: false, reason: 'refused', retryAfter: null }, 4)
  const refused = { type: 'refused', attempt: attempt('r.2'), kind: OutcomeKind.NoRunner, retryAfter: 0, reason: 'no runner' } as const
  const seek = request.handle(refused, 5).find((effect) => effect.type === 'seek')
  t.like(seek, { excluded: [] })
})
