import test from 'ava'
import { OutcomeKind, Ran, SendMode } from '@bluebellhill/domain'
import type { AttemptId, Grant, NodeId, OrganisationId, RequestId, RequestSpec, RunnerId } from '@bluebellhill/domain'
import { DropCause, EventKind, HistogramName, HybridClock } from '@bluebellhill/protocol'

import { Metrics, ShortRequestBaseline, TimeLine } from '../src/index.js'
import { RequestRecorder } from '../src/requests/RequestRecorder.js'

const SPEC: RequestSpec = {
  id: 'r1' as RequestId,
  organisation: 'orders' as OrganisationId,
  template: 't',
  model: 'm',
  version: null,
  adapter: null,
  urgency: 1,
  promptTokens: 1_000,
  maxTokens: 8,
  prefix: [],
  idempotent: true,
  admittedAt: 100,
  deadline: 10_000
}

const DISPATCHER = 'n2' as NodeId

const grantOf = (attempt: string, runner: string): Grant =>
  ({ attempt: attempt as AttemptId, entry: 'n1' as NodeId, runner: runner as RunnerId, validFor: 1_000, priority: 1, reason: 'most free memory', group: [] })

const sent = (attempt: string, runner: string, mode: SendMode, generated: number) =>
  ({ attempt: attempt as AttemptId, grant: grantOf(attempt, runner), dispatcher: DISPATCHER, mode, generated })

const open = () => {
  const timeLine = new TimeLine('n1' as NodeId, new HybridClock(() => 1_000), { requests: 100, fleet: 10 })
  const metrics = new Metrics()
  return { timeLine, metrics, recorder: new RequestRecorder(SPEC, { timeLine, metrics }) }
}

test('every event of an attempt names its request, organisation and runner', (t) => {
  const { timeLine, recorder } = open()
  const first = 'r1.1' as AttemptId
  const second = 'r1.2' as AttemptId
  recorder.sent(sent(first, 'g1', SendMode.Fresh, 0))
  recorder.relayed(first, 3, 30, 180)
  recorder.sent(sent(first, 'g1', SendMode.Resume, 3))
  recorder.broken(first, { started: Ran.Yes, resumable: true, reason: 'reset', retryAfter: null }, 3)
  recorder.sent(sent(second, 'g2', SendMode.Continue, 3))
  recorder.dropped(first, DropCause.Late, 3)
  recorder.completed(second, 'stop', 8)
  recorder.finished({ kind: OutcomeKind.Answered, ran: Ran.Yes }, 8, 400)
  const { events } = timeLine.query({ request: 'r1', organisation: 'orders' })
  t.deepEqual(events.map((event) => [event.kind, event.runner]), [
    [EventKind.AttemptSent, 'g1'],
    [EventKind.FirstToken, 'g1'],
    [EventKind.AttemptSent, 'g1'],
    [EventKind.AttemptResumed, 'g1'],
    [EventKind.AttemptBroken, 'g1'],
    [EventKind.AttemptSent, 'g2'],
    [EventKind.AttemptContinued, 'g2'],
    [EventKind.AnswerDropped, 'g1'],
    [EventKind.AttemptCompleted, 'g2'],
    [EventKind.RequestFinished, undefined]
  ])
  t.like(events[6]?.payload, { offset: 3, previous: 'g1' })
  t.like(events[9]?.payload, { code: 'answered', duration: 300, firstToken: 80, attempts: 3, generated: 8 })
})

test('the first token is measured once, and a slowdown is recorded only for an answered short request', (t) => {
  const { metrics, recorder } = open()
  recorder.sent(sent('r1.1', 'g1', SendMode.Fresh, 0))
  recorder.relayed('r1.1' as AttemptId, 1, 10, 180)
  recorder.relayed('r1.1' as AttemptId, 1, 10, 190)
  recorder.finished({ kind: OutcomeKind.ServerFailed, ran: Ran.Yes }, 2, 200)
  t.deepEqual(metrics.encodeHistograms().map((histogram) => [histogram.name, histogram.count]), [[HistogramName.FirstToken, 1]])
  recorder.finished({ kind: OutcomeKind.Answered, ran: Ran.Yes }, 2, 200)
  t.deepEqual(metrics.encodeHistograms().map((histogram) => histogram.name), [HistogramName.FirstToken, HistogramName.ShortSlowdown])
})

test('the expected duration of a request comes from the fastest tenth of earlier requests of its model', (t) => {
  const baseline = new ShortRequestBaseline()
  const request = (firstToken: number, gap: number) => ({ model: 'm', promptTokens: 1_000, generated: 11, firstToken, duration: firstToken + 10 * gap })
  for (let round = 0; round < 500; round += 1) baseline.recordAndEstimate(round % 4 === 0 ? request(300, 30) : request(100, 10))
  const expected = baseline.recordAndEstimate(request(400, 40))
  t.true(expected > 190 && expected < 215, `expected about 200, was ${expected}`)
  t.true(baseline.recordAndEstimate({ ...request(400, 40), model: 'unseen' }) === 800)
})
