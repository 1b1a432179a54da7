import test from 'ava'
import type { FailureDomain, RunnerId } from '@bluebellhill/domain'
import { EventKind } from '@bluebellhill/protocol'

import { Monitor } from '../src/dispatch/Monitor.js'
import type { MonitorListener } from '../src/dispatch/Monitor.js'
import { RunnerDirectory } from '../src/dispatch/RunnerDirectory.js'
import { MonitorFactory, OwnershipRule, RunnerOwnership } from '../src/dispatch/RunnerOwnership.js'
import { openHost, reportWith } from './fakeDispatch.js'

const RUNNER = 'g1' as RunnerId
const DOMAIN = 'sohar' as FailureDomain

const NO_PLACEMENT = { publish: () => {}, retract: () => {} }
const NO_DRAINS: ReadonlySet<RunnerId> = new Set()

class EveryRunner extends OwnershipRule {
  isOwn (): boolean {
    return true
  }
}

class IdleMonitor extends Monitor {
  start (): void {}
  dispose (): void {}
}

class CapturingMonitorFactory extends MonitorFactory {
  listener: MonitorListener | null = null

  create (_backend: unknown, listener: MonitorListener): Monitor {
    this.listener = listener
    return new IdleMonitor()
  }
}

test('each change of a runner\'s state is recorded once, with its reason', (t) => {
  const { host, timeLine, close } = openHost()
  const monitors = new CapturingMonitorFactory()
  const directory = new RunnerDirectory([{ id: RUNNER, address: '127.0.0.1:1', failureDomain: DOMAIN, kind: 'engine', service: null, leaving: false }])
  const ownership = new RunnerOwnership(DOMAIN, directory, new EveryRunner(), monitors, host, timeLine, NO_PLACEMENT)
  ownership.reconcile(NO_DRAINS)
  monitors.listener?.reported(reportWith([], true))
  monitors.listener?.reported(reportWith([]))
  monitors.listener?.reported(reportWith([]))
  monitors.listener?.unreachable('connection refused')
  monitors.listener?.unreachable('connection refused')
  monitors.listener?.reported(reportWith([]))
  directory.replaceLeaving([RUNNER])
  ownership.reconcile(NO_DRAINS)
  const changes = timeLine.query({ kinds: [EventKind.RunnerChanged], runner: RUNNER }).events
  t.deepEqual(changes.map((event) => event.payload), [
    { from: null, to: 'loading' },
    { from: 'loading', to: 'ready' },
    { from: 'ready', to: 'unreachable' },
    { from: 'unreachable', to: 'ready' },
    { from: 'ready', to: 'leaving' }
  ])
  t.is(changes[2]?.reason, 'connection refused')
  ownership.dispose()
  close()
})
