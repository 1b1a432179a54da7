import test from 'ava'

import { measureMemory, MemoryWatch } from '../src/forward/MemoryWatch.js'
import { LogLevel, openLog } from '../src/log/index.js'
import { LineCollector } from './forwardFixture.js'

const MB = 1_000_000

const watchOf = (limit: number | null): { lines: string[], check: (resident: number, heap: number) => void } => {
  const lines: string[] = []
  const log = openLog({ node: 'n', failureDomain: 'd', level: LogLevel.Info, transport: new LineCollector(lines) })
  let memory = { resident: 0, heap: 0, heapLimit: 200 * MB }
  const watch = new MemoryWatch({ limit, measure: () => memory, describe: () => ({ open_requests: 7 }), log })
  const check = (resident: number, heap: number): void => {
    memory = { ...memory, resident: resident * MB, heap: heap * MB }
    watch.check()
  }
  return { lines, check }
}

// Guards against a process that is ended for its memory without a line that told so before.
test('memory near the limit of the VM is logged once, until it is usual again', (t) => {
  const { lines, check } = watchOf(250 * MB)
  check(200, 50)
  t.is(lines.length, 0)
  check(220, 50)
  check(240, 50)
  t.is(lines.length, 1)
  t.regex(lines[0]!, /level=warn .*event=memory.high resident_mb=220 limit_mb=250 heap_mb=50 heap_limit_mb=200 open_requests=7/)
  check(195, 50)
  t.is(lines.length, 1)
  check(180, 50)
  t.regex(lines[1]!, /event=memory.usual resident_mb=180/)
})

test('a heap near its limit is logged, also without a stated memory', (t) => {
  const { lines, check } = watchOf(null)
  check(900, 100)
  t.is(lines.length, 0)
  check(900, 180)
  t.regex(lines[0]!, /event=memory.high resident_mb=900 heap_mb=180/)
})

test('the memory of this process is below the limit of its heap', (t) => {
  const { resident, heap, heapLimit } = measureMemory()
  t.true(heap > 0)
  t.true(heap < heapLimit)
  t.true(resident > heap / 2)
})
