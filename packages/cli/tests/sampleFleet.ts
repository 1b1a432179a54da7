/** Serves sample admin addresses of four nodes on loopback, with the time line of a short run. */
import { createServer } from 'node:http'
import type { Server } from 'node:http'
import type { AddressInfo } from 'node:net'

import { AdminPath, EventKind, HistogramName, HistogramUnit, HybridClock, MemberState, NodeState, RunnerState, encodeEvent, encodeStamp } from '@bluebellhill/protocol'
import type { EventPayloads, HistogramsReply, RunnersReply, StatusReply, TimeLineEvent, TimeLineReply } from '@bluebellhill/protocol'
import { build, encodeIntoCompressedBase64 } from 'hdr-histogram-js'

const START = Date.UTC(2026, 11, 3, 20, 0, 0)

interface Subject { readonly request?: string, readonly attempt?: string, readonly organisation?: string, readonly runner?: string }

/** Records the events of a fleet whose nodes share one clock. */
export class SampleFleet {
  readonly events: TimeLineEvent[] = []
  private time = START
  private readonly clock = new HybridClock(() => this.time)

  advance (millis: number): this {
    this.time += millis
    return this
  }

  record<Kind extends EventKind>(node: string, kind: Kind, subject: Subject, reason: string, payload: EventPayloads[Kind]): this {
    this.events.push({ stamp: this.clock.now(), node, kind, ...subject, reason, payload } as unknown as TimeLineEvent)
    return this
  }
}

/** Id of the request whose attempt breaks on one runner and is continued on another. */
export const BROKEN_REQUEST = '7c1f0e52'
/** Id of the request that a node refuses because its deadline cannot be met. */
export const REFUSED_REQUEST = '0a9d4b11'

const addAnswered = (fleet: SampleFleet, index: number): void => {
  const subject = { request: `r${String(index).padStart(5, '0')}`, attempt: `a${index}`, organisation: index % 3 === 0 ? 'depot' : 'orders', runner: `sohar-g${index % 4}` }
  const entry = `sohar-${1 + index % 2}`
  fleet.record(entry, EventKind.RequestAdmitted, subject, 'fits its limit', { template: 'enquiry', model: 'slip-7b', promptTokens: 1_400, maxTokens: 64, limit: 10_000, idempotent: true, urgency: 1 })
    .record(entry, EventKind.OrderSought, subject, 'least queue delay', { dispatcher: 'saham-1', excluded: [], remaining: 9_990 })
    .advance(2)
    .record('saham-1', EventKind.OrderGranted, subject, 'most free memory', { entry, queueDelay: 2, validFor: 2_000, priority: 1, group: [] })
    .advance(1)
    .record(entry, EventKind.AttemptSent, subject, 'granted', { dispatcher: 'saham-1', mode: 'fresh', generated: 0 })
    .advance(70 + index % 37)
    .record(entry, EventKind.FirstToken, subject, 'streaming', { elapsed: 75 + index % 37 })
    .advance(200 + index % 91)
    .record(entry, EventKind.AttemptCompleted, subject, 'stop', { generated: 64 })
    .record(entry, EventKind.RequestFinished, subject, '', { code: 'answered', ran: 'yes', generated: 64, duration: 280 + index % 91, firstToken: 75, attempts: 1 })
}

const addBroken = (fleet: SampleFleet): void => {
  const first = { request: BROKEN_REQUEST, attempt: 'a-broken-1', organisation: 'ledgers', runner: 'barka-g1' }
  const second = { ...first, attempt: 'a-broken-2', runner: 'barka-g2' }
  fleet.record('sohar-1', EventKind.RequestAdmitted, { request: BROKEN_REQUEST, organisation: 'ledgers' }, 'fits its limit', { template: 'ledger', model: 'ledger-70b', promptTokens: 310_000, maxTokens: 400, limit: 120_000, idempotent: true, urgency: 3 })
    .record('sohar-1', EventKind.OrderSought, { ...first, runner: undefined } as never, 'prefix affinity', { dispatcher: 'barka-1', excluded: [], remaining: 119_990 })
    .advance(3)
    .record('barka-1', EventKind.OrderQueued, first, 'two longer prompts ahead', { entry: 'sohar-1', ahead: 2, promptTokens: 310_000 })
    .advance(1_800)
    .record('barka-1', EventKind.OrderGranted, first, 'holds 40 of its 76 prefix blocks', { entry: 'sohar-1', queueDelay: 1_800, validFor: 3_000, priority: 3, group: [] })
    .advance(2)
    .record('sohar-1', EventKind.AttemptSent, first, 'granted', { dispatcher: 'barka-1', mode: 'fresh', generated: 0 })
    .advance(6_400)
    .record('sohar-1', EventKind.FirstToken, first, 'streaming', { elapsed: 8_210 })
    .advance(900)
    .record('sohar-1', EventKind.AttemptBroken, first, 'connection reset by the runner', { started: 'yes', generated: 57 })
    .record('barka-1', EventKind.RunnerChanged, { runner: 'barka-g1' }, 'three health checks failed', { from: RunnerState.Ready, to: RunnerState.Unreachable })
    .record('sohar-1', EventKind.OrderSought, { ...second, runner: undefined } as never, 'runner barka-g1 is excluded', { dispatcher: 'barka-1', excluded: ['barka-g1'], remaining: 110_000 })
    .advance(40)
    .record('barka-1', EventKind.OrderGranted, second, 'only runner of the model with room', { entry: 'sohar-1', queueDelay: 40, validFor: 3_000, priority: 3, group: [] })
    .advance(2)
    .record('sohar-1', EventKind.AttemptSent, second, 'granted', { dispatcher: 'barka-1', mode: 'continue', generated: 57 })
    .record('sohar-1', EventKind.AttemptContinued, second, 'the first runner is gone', { offset: 57, previous: 'barka-g1' })
    .advance(30)
    .record('sohar-1', EventKind.AnswerDropped, first, 'its attempt has ended', { cause: 'late', offset: 58 })
    .advance(9_000)
    .record('sohar-1', EventKind.AttemptCompleted, second, 'stop', { generated: 400 })
    .record('sohar-1', EventKind.RequestFinished, { request: BROKEN_REQUEST, organisation: 'ledgers' }, '', { code: 'answered', ran: 'yes', generated: 400, duration: 18_180, firstToken: 8_210, attempts: 2 })
}

/** Records the sample run: normal traffic, a failing runner, a node that becomes unreachable, and a refused request. */
export const sampleRun = (): SampleFleet => {
  const fleet = new SampleFleet()
  for (const node of ['sohar-1', 'sohar-2', 'saham-1', 'barka-1']) fleet.record(node, EventKind.NodeStarted, {}, 'started by its settings', { failureDomain: node.slice(0, -2), version: '0.1.0' })
  fleet.record('sohar-1', EventKind.LeaseWon, {}, 'no holder before', { lease: 'placement/sohar', fencing: '41' }).advance(400)
  for (let index = 0; index < 40; index += 1) addAnswered(fleet, index)
  fleet.record('sohar-2', EventKind.ConfigurationInstalled, { organisation: 'orders' }, 'watch', { revision: '118', previous: '117', source: 'key-value service' })
  addBroken(fleet)
  fleet.record('barka-1', EventKind.MemberChanged, {}, 'no answer to 3 probes', { member: 'barka-2', from: MemberState.Alive, to: MemberState.Suspect, incarnation: 4 })
    .advance(1_200)
    .record('barka-1', EventKind.MemberChanged, {}, 'suspicion ran out', { member: 'barka-2', from: MemberState.Suspect, to: MemberState.Unreachable, incarnation: 4 })
    .record('barka-1', EventKind.RunnerTakenOver, { runner: 'barka-g3' }, 'its dispatcher is unreachable', { previous: 'barka-2' })
    .record('sohar-2', EventKind.RequestRefused, { request: REFUSED_REQUEST, organisation: 'ledgers' }, 'the queue of its length class takes 41 s and its limit is 20 s', { code: 'deadline_infeasible', ran: 'no', retryAfter: 21_000 })
  for (let index = 40; index < 80; index += 1) addAnswered(fleet, index)
  return fleet
}

const NODES = ['sohar-1', 'sohar-2', 'saham-1', 'barka-1']

const histogramsOf = (node: string): HistogramsReply => {
  const encode = (values: readonly number[]) => {
    const histogram = build({ highestTrackableValue: 3_600_000, numberOfSignificantValueDigits: 2 })
    for (const value of values) histogram.recordValue(value)
    return { count: values.length, encoded: encodeIntoCompressedBase64(histogram) }
  }
  const sampleValues = (base: number) => Array.from({ length: 200 }, (_, index) => Math.round(base * (1 + (index % 23) / 11 + (index % 50 === 0 ? 6 : 0))))
  return {
    node,
    failureDomain: node.slice(0, -2),
    uptime: 60_000,
    histograms: [
      { name: HistogramName.FirstToken, length: 'under_4k', unit: HistogramUnit.Millis, ...encode(sampleValues(75)) },
      { name: HistogramName.FirstToken, length: '100k_1m', unit: HistogramUnit.Millis, ...encode(sampleValues(6_000)) },
      { name: HistogramName.ShortSlowdown, length: 'under_4k', unit: HistogramUnit.Thousandths, ...encode(sampleValues(1_000)) }
    ],
    counters: [
      { name: 'bluebellhill_requests_total', labels: { code: 'answered', number: '1000', ran: 'yes' }, value: 40 },
      { name: 'bluebellhill_answers_dropped_total', labels: { cause: 'late' }, value: node === 'sohar-1' ? 1 : 0 }
    ]
  }
}

const statusOf = (node: string): StatusReply => ({
  node,
  failureDomain: node.slice(0, -2),
  version: '0.1.0',
  state: node === 'saham-1' ? NodeState.Draining : NodeState.Ready,
  uptime: 61_000,
  requestsInProgress: 3,
  ordersQueued: 1,
  members: [...NODES.map((other) => ({ node: other, failureDomain: other.slice(0, -2), state: MemberState.Alive, incarnation: 1 })), { node: 'barka-2', failureDomain: 'barka', state: MemberState.Unreachable, incarnation: 4 }],
  configurations: [{ organisation: null, revision: '12', installedAt: START }, { organisation: 'orders', revision: node === 'barka-1' ? '117' : '118', installedAt: START }],
  platform: [{ service: 'key-value service', available: node !== 'barka-1', since: START }],
  leases: node === 'sohar-1' ? [{ lease: 'placement/sohar', fencing: '41' }] : [],
  clock: encodeStamp(0n),
  distrustedStamps: node === 'sohar-2' ? 2 : 0,
  memoryBytes: 91_000_000
})

const runnersOf = (node: string): RunnersReply => ({
  node,
  failureDomain: node.slice(0, -2),
  runners: [1, 2].map((index) => ({
    runner: `${node}-g${index}`,
    address: '127.0.0.1:1',
    failureDomain: node.slice(0, -2),
    state: index === 2 && node === 'barka-1' ? RunnerState.Loading : RunnerState.Ready,
    model: 'slip-7b',
    version: '3',
    role: 'mixed',
    slots: 16,
    running: 4 * index,
    waiting: 0,
    freeTokens: 100_000 * index,
    totalTokens: 400_000,
    prefillRate: 9_000,
    decodeRate: 40,
    reportAge: 250
  }))
})

const timeLineOf = (fleet: SampleFleet, node: string, query: URLSearchParams): TimeLineReply => {
  const request = query.get('request')
  const events = fleet.events.filter((event) => event.node === node && (request === null || event.request === request))
  const limit = Number(query.get('limit') ?? events.length)
  return {
    node,
    failureDomain: node.slice(0, -2),
    now: encodeStamp(0n),
    overwritten: 0,
    truncated: events.length > limit,
    events: events.slice(Math.max(0, events.length - limit)).map(encodeEvent)
  }
}

/** Sample nodes whose admin addresses are being served. */
export interface RunningFleet {
  readonly addresses: readonly string[]
  /** Names of the nodes that were asked to drain. */
  readonly drained: string[]
  stop (): Promise<void>
}

/** Serves the admin addresses of four nodes on loopback. */
export const serveFleet = async (fleet: SampleFleet): Promise<RunningFleet> => {
  const drained: string[] = []
  const servers: Server[] = []
  for (const node of NODES) {
    const server = createServer((request, response) => {
      const url = new URL(request.url ?? '/', 'http://node')
      const reply = (value: unknown, status = 200) => response.writeHead(status, { 'content-type': 'application/json' }).end(JSON.stringify(value))
      if (url.pathname === AdminPath.TimeLine) return reply(timeLineOf(fleet, node, url.searchParams))
      if (url.pathname === AdminPath.Histograms) return reply(histogramsOf(node))
      if (url.pathname === AdminPath.Status) return drained.includes(node) ? request.socket.destroy() : reply(statusOf(node))
      if (url.pathname === AdminPath.Runners) return reply(runnersOf(node))
      if (url.pathname === AdminPath.Drain && request.method === 'POST') {
        drained.push(node)
        return reply({ node, state: NodeState.Draining, requestsInProgress: 3 })
      }
      return reply({ error: { message: 'no such path' } }, 404)
    })
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
    servers.push(server)
  }
  return {
    addresses: servers.map((server) => `127.0.0.1:${(server.address() as AddressInfo).port}`),
    drained,
    stop: async () => {
      for (const server of servers) {
        server.closeAllConnections()
        await new Promise((resolve) => server.close(resolve))
      }
    }
  }
}
