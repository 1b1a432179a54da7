import test from 'ava'
import { ProgressKind } from '@bluebellhill/domain'
import type { AttemptId, DispatchOrder, FailureDomain, NodeId, OrganisationId, RequestId, RunnerId } from '@bluebellhill/domain'
import { EventKind } from '@bluebellhill/protocol'

import { openHost, reportWith } from './fakeDispatch.js'

const RUNNER = 'g1' as RunnerId

/** Maximum time that `until` waits for its condition, in milliseconds. */
const WAIT_LIMIT = 20_000

const orderOf = (attempt: string): DispatchOrder => ({
  attempt: attempt as AttemptId,
  request: attempt.split('.')[0] as RequestId,
  entry: 'n2' as NodeId,
  organisation: 'orders' as OrganisationId,
  model: 'm',
  version: null,
  adapter: null,
  urgency: 1,
  promptTokens: 1_000,
  maxTokens: 16,
  prefix: [],
  remaining: 30_000,
  excluded: []
})

const open = () => {
  const opened = openHost()
  opened.host.post({ type: 'runner_assigned', runner: RUNNER, failureDomain: 'sohar' as FailureDomain })
  opened.host.post({ type: 'runner_reported', runner: RUNNER, report: reportWith([]) })
  const kindsOf = (request: string) => opened.timeLine.query({ request }).events.map((event) => event.kind)
  return { ...opened, kindsOf }
}

const until = async (condition: () => boolean, step: () => void = () => {}): Promise<void> => {
  const end = Date.now() + WAIT_LIMIT
  while (!condition()) {
    if (Date.now() > end) throw new Error('the condition was not met in time')
    step()
    await new Promise((resolve) => setTimeout(resolve, 5))
  }
}

const never = new AbortController().signal

test('an unused grant is recorded as lapsed, with its request and organisation', async (t) => {
  const { host, timeLine, metrics, kindsOf, close } = open()
  t.is((await host.acquire(orderOf('r1.1'), never)).type, 'granted')
  await until(() => kindsOf('r1').includes(EventKind.GrantLapsed))
  const lapsed = timeLine.query({ kinds: [EventKind.GrantLapsed] }).events[0]
  t.like(lapsed, { request: 'r1', organisation: 'orders', runner: RUNNER, attempt: 'r1.1' })
  t.true((await metrics.toPrometheusText()).includes('bluebellhill_grants_lapsed_total 1\n'))
  t.true((await metrics.toPrometheusText()).includes('bluebellhill_orphans_freed_total 0\n'))
  close()
})

test('memory that an engine holds for an unknown attempt is recorded as an orphan, with the request of that attempt', async (t) => {
  const { host, timeLine, metrics, transport, close } = open()
  await until(() => transport.cancelled.includes('lost.1' as AttemptId), () => {
    host.post({ type: 'runner_reported', runner: RUNNER, report: reportWith(['lost.1']) })
    host.post({ type: 'ticked' })
  })
  t.like(timeLine.query({ kinds: [EventKind.OrphanFreed] }).events[0], { request: 'lost', runner: RUNNER, attempt: 'lost.1' })
  t.regex(await metrics.toPrometheusText(), /bluebellhill_orphans_freed_total [1-9]/)
  close()
})

test('a withdrawn grant is recorded as cancelled, neither as lapsed nor as an orphan', async (t) => {
  const { host, kindsOf, transport, close } = open()
  const controller = new AbortController()
  await host.acquire(orderOf('r2.1'), controller.signal)
  host.post({ type: 'progressed', attempt: 'r2.1' as AttemptId, runner: RUNNER, kind: ProgressKind.Sent, generated: 0, order: null })
  controller.abort()
  await until(() => transport.cancelled.length > 0)
  t.deepEqual(kindsOf('r2'), [EventKind.OrderQueued, EventKind.OrderGranted, EventKind.AttemptCancelled])
  close()
})

test('the grant of an ended attempt is not recorded as lapsed', async (t) => {
  const { host, kindsOf, close } = open()
  await host.acquire(orderOf('r3.1'), never)
  host.post({ type: 'progressed', attempt: 'r3.1' as AttemptId, runner: RUNNER, kind: ProgressKind.Ended, generated: 16, order: null })
  await host.acquire(orderOf('r4.1'), never)
  await until(() => kindsOf('r4').includes(EventKind.GrantLapsed))
  t.deepEqual(kindsOf('r3'), [EventKind.OrderQueued, EventKind.OrderGranted])
  close()
})

test('after an unexpected error the dispatcher refuses that order and answers the next one', async (t) => {
  const { host, timeLine, close } = open()
  const broken = Object.defineProperty({ ...orderOf('r5.1') }, 'model', { get: () => { throw new Error('unforeseen') } })
  t.like(await host.acquire(broken, never), { type: 'refused', kind: 'internal' })
  t.like(await host.acquire(orderOf('r7.1'), never), { type: 'granted' })
  t.like(timeLine.query({ kinds: [EventKind.PartFailed] }).events[0], { reason: 'unforeseen' })
  close()
})
