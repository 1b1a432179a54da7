import test from 'ava'
import type { ExecutionContext } from 'ava'

import { ForwardMetrics } from '../src/forward/ForwardMetrics.js'
import { StartPhase, StartTimes } from '../src/forward/StartTimes.js'
import { ForwardFixture, LineCollector } from './forwardFixture.js'
import { LogLevel, openLog } from '../src/log/index.js'

const startLines = (lines: readonly string[]): string[] => lines.filter((line) => line.includes('event=node.start_times'))

const create = (t: ExecutionContext): { readonly lines: string[], readonly metrics: ForwardMetrics, readonly times: StartTimes, readonly advance: (ms: number) => void } => {
  const lines: string[] = []
  let now = 0
  const metrics = new ForwardMetrics()
  const log = openLog({ node: 'n1', failureDomain: 'd1', level: LogLevel.Info, transport: new LineCollector(lines) })
  const times = new StartTimes({ log, metrics, clock: () => now, processorTime: () => 250_000 })
  t.teardown(() => times.dispose())
  return { lines, metrics, times, advance: (ms) => { now += ms } }
}

test('a start is logged once with the first time of each phase and the refusals until then', (t) => {
  const { lines, metrics, times, advance } = create(t)
  advance(100)
  times.reached(StartPhase.NodesListed, { nodes: 59 })
  advance(50)
  times.reached(StartPhase.NodesListed, { nodes: 60 })
  times.reached(StartPhase.Ready)
  metrics.requestRefused('no_server')
  metrics.requestRefused('no_server')
  advance(10)
  times.reached(StartPhase.RequestAnswered)
  times.reached(StartPhase.PeerHeard)
  times.dispose()
  t.is(startLines(lines).length, 1)
  t.regex(lines[0] ?? '', /nodes_listed_ms=100 nodes=59 ready_ms=150 ready_processor_ms=250 answered_ms=160 answered_processor_ms=250 refused=no_server:2$/)
})

test('a start without an answered request is logged when the node stops', (t) => {
  const { lines, times } = create(t)
  times.reached(StartPhase.SettingsRead)
  times.dispose()
  t.regex(startLines(lines)[0] ?? '', /settings_ms=0 settings_processor_ms=250$/)
})

test('requests that no server can take are counted by cause', async (t) => {
  const fixture = await ForwardFixture.start(t, () => {})
  for (const { id } of fixture.fleetState.servers.all()) fixture.fleetState.removeServer(id, fixture.fleetState.serversRevision + 1, 'store')
  const { status } = await fixture.call('/safe/x')
  t.is(status, 503)
  t.is(fixture.metrics.refusalCounts.get('no_server'), 1)
})
