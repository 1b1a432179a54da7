/** Plain services with uneven servers: what nodes measure, report and learn. */
import test from 'ava'
import type { ExecutionContext } from 'ava'

import { Readiness } from '@bluebellhill/domain'
import type { FailureDomain, Millis, NodeId, RunnerId, Service } from '@bluebellhill/domain'
import { fleetWire } from '@bluebellhill/protocol'

import { FleetState } from '../src/forward/FleetState.js'
import { decodeAttemptReports, encodeAttemptReports } from '../src/forward/peers/datagramCodec.js'
import { Scheduler } from '../src/forward/scheduling/Scheduler.js'
import { GROUP_CONTEXT } from '../src/forward/scheduling/types.js'
import type { AttemptReport } from '../src/forward/scheduling/types.js'
import { LogLevel, openLog } from '../src/log/index.js'
import { DEPLOYMENT, ForwardFixture, LineCollector, signedHeaders } from './forwardFixture.js'
import type { Script } from './forwardFixture.js'

const OTHER = 'n2' as NodeId
const EVEN: Service = DEPLOYMENT.services[0]!
const UNEVEN: Service = { ...EVEN, warmUp: { period: 0, requestsPerSecond: 0 } }
const IDS = ['e0', 'e1', 'e2'] as RunnerId[]

/** A scheduler with three servers; requests of another node are placed one after the other, and the first server takes four times as long unless set. */
class OneScheduler {
  readonly lines: string[] = []
  readonly fleetState: FleetState
  readonly scheduler: Scheduler
  slowTime: Millis = 172
  #number = 1
  #now = 0

  constructor (service: Service) {
    const clock = (): Millis => this.#now
    const log = openLog({ node: 'n1', failureDomain: 'd1', level: LogLevel.Info, transport: new LineCollector(this.lines) })
    this.fleetState = new FleetState(log, clock)
    this.scheduler = new Scheduler({ node: 'n1' as NodeId, fleetState: this.fleetState, log, clock, runningClock: clock, retryBounds: () => ({ ratio: 0, slack: 0, window: 1_000 }), schedulerCount: () => 1, group: () => ({ domain: null }) })
    this.fleetState.install({ ...DEPLOYMENT, services: [service] }, 'store')
    for (const id of IDS) this.put(id, 1)
  }

  put (id: RunnerId, startedAt: number): void {
    this.fleetState.putServer({ server: { id, service: 's', address: `10.0.0.${id.slice(1)}:80`, failureDomain: 'd1' as FailureDomain, slots: 6, readiness: Readiness.Ready, startedAt }, revision: startedAt }, 'store')
  }

  /** @returns the number of requests at the slow server */
  run (count: number, sent: (report: AttemptReport) => AttemptReport): number {
    let atSlow = 0
    for (let request = 0; request < count; request += 1) {
      const number = this.#number++
      const result = this.scheduler.place({ request: 'r', service: 's', size: { prompt: 0, mostAnswer: 0 }, objective: 251, dueAt: this.#now + 251, pauseObjective: null, excluded: [], allowed: null, chargesRetry: false, isRedirected: false, isFirstAttempt: true, isSuspected: false, trialParts: [] }, { node: OTHER, number }, GROUP_CONTEXT)
      if (result.type !== 'placed') throw new Error(result.type)
      const { id } = result.choice.server
      if (id === 'e0') atSlow += 1
      this.#now += 43
      const report = { number, isEnded: true, server: id, signal: null, slowdown: null, serviceTime: { time: id === 'e0' ? this.slowTime : 43, requestsBefore: result.load.requests } }
      const bytes = fleetWire.AttemptReports.encode(encodeAttemptReports([sent(report)])).finish()
      this.scheduler.applyReports(OTHER, decodeAttemptReports(fleetWire.AttemptReports.decode(bytes)))
    }
    return atSlow
  }
}

test('a scheduler learns from the reports of another node that a server is slow, and says so', (t) => {
  const one = new OneScheduler(UNEVEN)
  t.true(one.run(90, (report) => report) <= 10)
  t.is(one.scheduler.unevenServers.count(), 1)
  t.true(one.lines.some((line) => / event=server\.uneven server=e0 service=s relative=\d/.test(line)))
  t.true(one.lines.some((line) => / event=placement\.by_time request=r server=e[12] .*other=e0 other_requests=0 other_relative=\d/.test(line)))
})

test('reports of an earlier build, without times, and services without warm-up figures leave least outstanding', (t) => {
  t.is(new OneScheduler(UNEVEN).run(90, ({ serviceTime, ...report }) => report), 30)
  t.is(new OneScheduler(EVEN).run(90, (report) => report), 30)
})

test('a server that has just started gets its share of the requests in proportion to how far it is warm', (t) => {
  const one = new OneScheduler({ ...UNEVEN, warmUp: { period: 3_000, requestsPerSecond: 0 } })
  one.slowTime = 43
  one.run(90, (report) => report)
  one.put(IDS[0]!, Date.now())
  const perSecond = 23
  const counts = [1, 2, 3, 4].map(() => one.run(perSecond, (report) => report))
  for (const [second, warmth] of [1 / 6, 3 / 6, 5 / 6, 1].entries()) t.true(Math.abs(counts[second]! - warmth * perSecond / 3) <= 1.5, counts.join())
  t.true(one.lines.some((line) => / event=placement\.by_time .*other=e0 .*other_warmth=0/.test(line)))
})

test('a server that restarts under its id is not taken for slow any more', (t) => {
  const one = new OneScheduler(UNEVEN)
  one.run(90, (report) => report)
  one.put(IDS[0]!, 2)
  t.is(one.scheduler.unevenServers.count(), 0)
})

test('what was measured reaches the other node, and absent times stay absent', (t) => {
  const report: AttemptReport = { number: 7, isEnded: true, server: IDS[0]!, signal: null, slowdown: null }
  const timed = { ...report, serviceTime: { time: 43.25, requestsBefore: 0 } }
  t.deepEqual(decodeAttemptReports(encodeAttemptReports([report, timed])), [report, timed])
  const huge = { ...report, serviceTime: { time: 1e12, requestsBefore: 1 } }
  t.true(decodeAttemptReports(encodeAttemptReports([huge]))[0]!.serviceTime!.time > 4e6)
})

/** Starts a node whose clock goes on only while a server works: for 400 ms at the first server, and 20 ms at the others. */
const startUneven = async (t: ExecutionContext, first: Script): Promise<ForwardFixture> => {
  let now = performance.now()
  const answersAfter = (work: Millis, script: Script): Script => (...call) => {
    now += work
    script(...call)
  }
  const fixture = await ForwardFixture.start(t, answersAfter(400, first), answersAfter(20, answers), answersAfter(20, answers))
  fixture.clock = () => now
  fixture.fleetState.install({ ...DEPLOYMENT, version: 2, services: [UNEVEN] }, 'store')
  return fixture
}

const answers: Script = (request, response) => { response.writeHead(200, signedHeaders(request)).end('answer') }

test('a node that decides alone measures its own requests and avoids a slow server', async (t) => {
  const fixture = await startUneven(t, answers)
  for (let request = 0; request < 30; request += 1) t.is((await fixture.call('/safe/x')).status, 200)
  const sent = fixture.linesOf('request.sent')
  t.is(sent.length, 30)
  t.true(sent.filter((line) => line.includes(' server=e0 ')).length <= 5)
  t.is(fixture.linesOf('server.uneven').length, 1)
})

test('nothing is learned from failures', async (t) => {
  const fixture = await startUneven(t, (request, response) => { response.writeHead(500, signedHeaders(request)).end('failure') })
  for (let request = 0; request < 12; request += 1) await fixture.call('/unsafe/x')
  t.true(fixture.linesOf('request.sent').some((line) => line.includes(' server=e0 ')))
  t.deepEqual(fixture.linesOf('server.uneven'), [])
})
