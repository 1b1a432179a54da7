/** What an error takes along that nothing else has handled. */
import test from 'ava'

import { LogLevel, openLog } from '../src/log/index.js'
import { UncaughtErrors } from '../src/forward/UncaughtErrors.js'
import { LineCollector } from './forwardFixture.js'

/** Errors of one node, on a clock that the test moves. */
class TestNode {
  now = 0
  ends = 0
  readonly lines: string[] = []
  readonly errors = new UncaughtErrors({
    log: openLog({ node: 'n', failureDomain: 'd', level: LogLevel.Info, transport: new LineCollector(this.lines) }),
    clock: () => this.now,
    onBroken: () => { this.ends += 1 }
  })
}

// Guards against LOST: an error that a value in the store or a message causes on every node ended all of them.
test('an error of a running node ends only its task', (t) => {
  const node = new TestNode()
  for (let count = 0; count < 100; count += 1) {
    node.errors.record(new Error('a value'))
    node.now += 600
  }
  t.is(node.ends, 0)
  t.is(node.errors.count, 100)
  t.is(node.lines.filter((line) => line.includes('event=node.task_failed')).length, 100)
})

test('a node that throws again and again ends', (t) => {
  const node = new TestNode()
  for (let count = 0; count < 40 && node.ends === 0; count += 1) {
    node.now += 10
    node.errors.record('broken')
  }
  t.is(node.ends, 1)
})
