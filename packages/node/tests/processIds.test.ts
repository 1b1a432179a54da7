/** Ids that outlive the process that has given them out. */
import test from 'ava'

import { SchedulerDirectory } from '@bluebellhill/domain'
import type { FailureDomain, NodeId } from '@bluebellhill/domain'

import { FleetState } from '../src/forward/FleetState.js'
import { Scheduler } from '../src/forward/scheduling/Scheduler.js'
import { silentLog } from './forwardFixture.js'

const NODE = 'n1' as NodeId
const PROCESSES = 4
const IDS = 100

/** Returns the numbers of the first assignments of one process of the node. */
const firstNumbers = (): number[] => {
  const clock = (): number => 0
  const directory = new SchedulerDirectory({ node: NODE, address: '127.0.0.1:1', failureDomain: 'd1' as FailureDomain, processor: 1 }, 0)
  const log = silentLog()
  const scheduler = new Scheduler({
    node: NODE, fleetState: new FleetState(log, clock), log, clock, runningClock: clock, retryBounds: () => ({ ratio: 0.2, slack: 100, window: 10_000 }), hedgeRatio: () => null, schedulerCount: () => 1, group: () => directory.group
  })
  return Array.from({ length: IDS }, () => scheduler.assignments.nextNumber())
}

// Guards against LIMIT: a node that was killed and is back reserved memory under the id of a reservation that was in use.
test('the assignments of a process have other numbers than those of the processes before it', (t) => {
  const numbers = Array.from({ length: PROCESSES }, firstNumbers).flat()
  t.is(new Set(numbers).size, PROCESSES * IDS)
  t.true(Math.max(...numbers) < 2 ** 32)
})
