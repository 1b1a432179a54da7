import test from 'ava'

import { Dispatcher, LeastReportedLoad, LengthAware, OutcomeKind, RoundRobin } from '../src/index.js'
import type { DispatchEffect, DispatchOrder, RoutingPolicy, RunnerReport } from '../src/index.js'
import { attempt, DOMAIN, node, order, report, runner } from './fixtures.js'

const dispatcherWith = (runners: readonly string[], changes: Partial<RunnerReport> = {}, policy: RoutingPolicy = new LengthAware()): Dispatcher => {
  const dispatcher = new Dispatcher({ node: node('d'), policy })
  for (const name of runners) {
    dispatcher.handle({ type: 'runner_assigned', runner: runner(name), failureDomain: DOMAIN }, 0)
    dispatcher.handle({ type: 'runner_reported', runner: runner(name), report: report(changes) }, 0)
  }
  return dispatcher
}

const ordered = (dispatcher: Dispatcher, asked: DispatchOrder, now = 0): readonly DispatchEffect[] =>
  dispatcher.handle({ type: 'ordered', order: asked }, now)

const ofType = <Type extends DispatchEffect['type']>(effects: readonly DispatchEffect[], type: Type) =>
  effects.filter((effect): effect is Extract<DispatchEffect, { type: Type }> => effect.type === type)

for (const policy of [new RoundRobin(), new LeastReportedLoad(), new LengthAware()]) {
  test(`${policy.name} grants as many orders as there are slots`, (t) => {
    const dispatcher = dispatcherWith(['a', 'b'], { slots: 2 }, policy)
    const grants = Array.from({ length: 5 }, (_, index) => ordered(dispatcher, order(`r${index}.1`)))
      .flatMap((effects) => ofType(effects, 'grant'))
    t.is(grants.length, 4)
    t.is(dispatcher.queueLength, 1)
    const next = dispatcher.handle({ type: 'progressed', attempt: attempt('r0.1'), runner: runner('a'), kind: 'ended', generated: 16, order: null }, 50)
    t.is(ofType(next, 'grant')[0]?.grant.attempt, attempt('r4.1'))
  })
}

test('an order for a model without a runner is refused', (t) => {
  const [refusal] = ofType(ordered(dispatcherWith(['a']), order('r.1', { model: 'other' })), 'refuse')
  t.is(refusal?.kind, OutcomeKind.NoRunner)
})

test('an order whose deadline the learned rates do not allow is refused at once', (t) => {
  const [refusal] = ofType(ordered(dispatcherWith(['a']), order('r.1', { promptTokens: 300_000, remaining: 2_000 })), 'refuse')
  t.is(refusal?.kind, OutcomeKind.DeadlineInfeasible)
})

test('a leaving runner gets no new orders', (t) => {
  const dispatcher = dispatcherWith(['a'])
  dispatcher.handle({ type: 'runner_leaving', runner: runner('a') }, 0)
  t.is(ofType(ordered(dispatcher, order('r.1')), 'grant').length, 0)
})

test('a withdrawn attempt is cancelled on its runner and frees its slot', (t) => {
  const dispatcher = dispatcherWith(['a'], { slots: 1 })
  ordered(dispatcher, order('r1.1'))
  ordered(dispatcher, order('r2.1'))
  const effects = dispatcher.handle({ type: 'withdrawn', attempt: attempt('r1.1') }, 10)
  t.is(ofType(effects, 'cancel_on_runner')[0]?.attempt, attempt('r1.1'))
  t.is(ofType(effects, 'grant')[0]?.grant.attempt, attempt('r2.1'))
})

test('an order withdrawn before it arrives is not granted', (t) => {
  const dispatcher = dispatcherWith(['a'])
  dispatcher.handle({ type: 'withdrawn', attempt: attempt('r.1') }, 0)
  t.is(ofType(ordered(dispatcher, order('r.1'), 1), 'grant').length, 0)
})

test('orders of an unreachable entry node are refused, since it may only be paused', (t) => {
  const dispatcher = dispatcherWith(['a'], { slots: 1 })
  ordered(dispatcher, order('r1.1'))
  ordered(dispatcher, order('r2.1'))
  const [refusal] = ofType(dispatcher.handle({ type: 'entry_lost', entry: order('r2.1').entry }, 10), 'refuse')
  t.is(refusal?.attempt, attempt('r2.1'))
  t.is(dispatcher.queueLength, 0)
})

test('a draining runner gets no new orders until draining ends', (t) => {
  const dispatcher = dispatcherWith(['a', 'b'])
  dispatcher.handle({ type: 'runner_draining', runner: runner('a'), draining: true }, 0)
  t.is(ofType(ordered(dispatcher, order('r1.1')), 'grant')[0]?.grant.runner, runner('b'))
  dispatcher.handle({ type: 'runner_draining', runner: runner('a'), draining: false }, 0)
  dispatcher.handle({ type: 'runner_leaving', runner: runner('b') }, 0)
  t.is(ofType(ordered(dispatcher, order('r2.1')), 'grant')[0]?.grant.runner, runner('a'))
})
