/** What other nodes may say, in any numbers, to a scheduler with engines of any figures. */
import test from 'ava'
import fc from 'fast-check'

import { Readiness, SchedulerDirectory } from '@bluebellhill/domain'
import type { EngineFigures, FailureDomain, NodeId, RunnerId, SchedulerCandidate } from '@bluebellhill/domain'
import { fleetWire } from '@bluebellhill/protocol'

import { FleetState } from '../src/forward/FleetState.js'
import { decodeDatagram, decodeGroupLoad, encodeDatagram } from '../src/forward/peers/datagramCodec.js'
import type { DatagramContent } from '../src/forward/peers/datagramCodec.js'
import { decodeEvacuations } from '../src/forward/peers/evacuationCodec.js'
import { decodeNotice } from '../src/forward/peers/noticeCodec.js'
import { PeerTable } from '../src/forward/peers/PeerTable.js'
import { decodeFacts } from '../src/forward/peers/quarantineCodec.js'
import { decodeState } from '../src/forward/peers/stateCodec.js'
import { Scheduler } from '../src/forward/scheduling/Scheduler.js'
import { SchedulerHost } from '../src/forward/scheduling/SchedulerHost.js'
import { DEPLOYMENT, silentLog } from './forwardFixture.js'

const RUNS = { seed: 43, numRuns: 500 }

const SELF: SchedulerCandidate = { node: 'n0' as NodeId, address: '10.0.0.1:1', failureDomain: 'd1' as FailureDomain, processor: 1 }
const ENGINES = ['e0', 'e1', 'e2']

const uint32 = fc.oneof(fc.nat(10_000), fc.constantFrom(0, 1, 2 ** 31 - 1, 2 ** 31, 2 ** 32 - 1))
const sint32 = fc.oneof(fc.integer({ min: -10_000, max: 10_000 }), fc.constantFrom(0, -1, 2 ** 31 - 1, -(2 ** 31)))
const uint64 = fc.oneof(fc.bigInt(0n, 100n), fc.constantFrom(0n, 2n ** 32n, 2n ** 53n, 2n ** 64n - 1n))
const double = fc.oneof(fc.double(), fc.constantFrom(0, -0, -1, NaN, Infinity, -Infinity, Number.MAX_VALUE, 5e-324))
const text = fc.oneof(fc.constantFrom('', 'e0', 'e1', 'e2', 'lm', 'app', 'n1', 'd1', 'a1', '@b2', '__proto__', 'constructor'), fc.string({ maxLength: 100 }))
const texts = fc.array(text, { maxLength: 4 })
const noTexts = fc.constant<string[]>([])
const optional = <Value>(value: fc.Arbitrary<Value>): fc.Arbitrary<Value | undefined> => fc.option(value, { nil: undefined })

const notice = fc.record({ server: text, serverStartedAt: uint64, requestLimit: optional(double), heardBy: text, heardAgoMs: uint32, isLeaving: fc.boolean() })
const facts = fc.record({
  crashes: fc.array(fc.record({ server: text, serverStartedAt: uint64, reportedBy: text, agoMs: uint32, suspects: uint32, parts: texts, service: text }), { maxLength: 4 }),
  survivals: fc.array(fc.record({ server: text, serverStartedAt: uint64, agoMs: uint32 }), { maxLength: 4 }),
  sound: fc.array(fc.record({ part: text, agoMs: uint32, service: text }), { maxLength: 4 }),
  trials: fc.array(fc.record({ part: text, agoMs: uint32, grantedBy: text }), { maxLength: 4 }),
  recurrences: fc.array(fc.record({ part: text, agoMs: uint32 }), { maxLength: 4 })
})
const evacuations = fc.record({ revision: uint64, eraPlusOne: uint32, failureDomains: fc.array(fc.constantFrom('', 'd8', 'd9', '__proto__'), { maxLength: 4 }) })

const work = fc.record({
  number: uint32, runner: text, helpers: texts, promptTokens: uint32, answerTokens: uint32, sentAgoMs: uint32, partMs: uint32, isRead: fc.boolean(), held: fc.array(fc.record({ runner: text, tokens: uint32 }), { maxLength: 4 }), pauseObjectiveMs: optional(uint32), dueInMs: sint32, isDeferred: fc.boolean()
})
const state = fc.record({
  node: fc.constantFrom('n1', 'n2', '__proto__'), startedAt: uint64, sequence: uint32, part: fc.constantFrom(0, 1, 2 ** 32 - 2), parts: fc.constantFrom(1, 1, 1, 2, 2 ** 32 - 1), configurationVersion: uint64, serversRevision: uint64, stopping: fc.boolean(), works: fc.array(work, { maxLength: 8 }), peers: texts, storeLost: fc.boolean(), failureDomain: text, version: uint32, processorMilli: uint32, notices: fc.array(notice, { maxLength: 3 }), serversEraPlusOne: uint32, quarantine: optional(facts), evacuations: optional(evacuations)
})

const query = fc.record({
  number: uint32, request: text, service: fc.constantFrom('lm', 'lm', 'app', '', '__proto__'), promptTokens: uint32, mostAnswerTokens: uint32, objectiveMs: uint32, dueInMs: sint32, pauseObjectiveMs: optional(uint32), excluded: texts, allowed: fc.oneof(noTexts, texts), chargesRetry: fc.boolean(), isRedirected: fc.boolean(), isFirstAttempt: fc.boolean(), isSuspected: fc.boolean(), trialParts: fc.oneof(noTexts, texts), isolatedAs: text, organisation: text, urgencyPlusOne: uint32, waitedMs: uint32, identity: text, regions: fc.oneof(noTexts, texts), acceptsQueueing: fc.boolean(), isHedge: fc.boolean()
})
const report = fc.record({ number: uint32, isEnded: fc.boolean(), server: text, signal: fc.constantFrom('', 'good', 'bad', 'unreachable', '__proto__'), slowdownMilli: uint32, serviceTimeUs: optional(uint32), requestsBefore: optional(uint32) })
const groupReport = fc.record({ failureDomain: text, services: fc.array(fc.record({ service: text, slots: uint32, requests: uint32, meanPendingMs: uint32 }), { maxLength: 4 }), sender: fc.constant(undefined) })

const message = fc.oneof(
  query.map((value): DatagramContent => ({ $case: 'placementQuery', value })),
  query.map((value): DatagramContent => ({ $case: 'placementQuery', value })),
  fc.array(report, { maxLength: 6 }).map((reports): DatagramContent => ({ $case: 'attemptReports', value: { reports } })),
  fc.record({ number: uint32, server: text }).map((value): DatagramContent => ({ $case: 'silenceQuery', value })),
  groupReport.map((value): DatagramContent => ({ $case: 'groupReport', value }))
)
const input = fc.oneof(state.map((value) => ({ state: value, content: null })), message.map((content) => ({ state: null, content })))

/** Positive numbers that a configuration may contain. */
const figure = fc.oneof(fc.double({ min: 0.001, max: 1e6, noNaN: true }), fc.constantFrom(5e-324, 1e-9, 2 ** 53, Number.MAX_VALUE))
const count = fc.constantFrom(1, 4, 64, 2 ** 32, Number.MAX_SAFE_INTEGER)
const figures: fc.Arbitrary<EngineFigures> = fc.record({
  slots: count, memory: fc.oneof(fc.constantFrom(100, 450_000), figure), stepsPerPass: count, step: figure, stepPerWriter: fc.oneof(fc.constant(0), figure), stepPerThousandContext: fc.oneof(fc.constant(0), figure), readTokensPerMs: figure, readPerMillionPairs: fc.oneof(fc.constant(0), figure), usualAnswer: fc.oneof(fc.constantFrom(0, 200), figure)
})

/** A scheduler with three engines, and all that it is told by others. */
class ToldScheduler {
  readonly #table = new PeerTable()
  readonly #fleetState: FleetState
  readonly #scheduler: Scheduler
  readonly #host: SchedulerHost
  #now = 1_000_000
  /** Replies that were encoded. */
  replies = 0

  constructor (engine: EngineFigures, slots: number) {
    const log = silentLog()
    const clock = (): number => this.#now
    this.#fleetState = new FleetState(log, clock)
    const service = { name: 'lm', healthPath: '/', maxConnections: 10, engine, warmUp: { period: 1_000, requestsPerSecond: 2 } }
    this.#fleetState.install({ ...DEPLOYMENT, services: [service, { ...service, name: 'app', engine: null }] }, 'store')
    for (const [index, id] of [...ENGINES, 'a0'].entries()) {
      const server = { id: id as RunnerId, service: id === 'a0' ? 'app' : 'lm', address: `10.0.1.${index}:80`, failureDomain: 'd1' as FailureDomain, slots, readiness: Readiness.Ready, startedAt: 1 }
      this.#fleetState.putServer({ server, revision: 1 }, 'store')
    }
    const directory = new SchedulerDirectory(SELF, 0)
    this.#scheduler = new Scheduler({ node: SELF.node, fleetState: this.#fleetState, log, clock, runningClock: clock, retryBounds: () => ({ ratio: 0.2, slack: 10, window: 10_000 }), hedgeRatio: () => 0.1, schedulerCount: () => 1, group: () => directory.group, directory })
    const send = (_: string, content: DatagramContent): void => { this.replies += encodeDatagram(SELF.node, 1, content).length > 0 ? 1 : 0 }
    this.#host = new SchedulerHost({ scheduler: this.#scheduler, log, clock, runningClock: clock, send })
  }

  hear (content: DatagramContent): void {
    this.#now += 7
    const received = decodeDatagram(encodeDatagram('n1' as NodeId, 5, content))
    if (received.content.$case === 'groupReport') this.#scheduler.recordGroupLoad(decodeGroupLoad(received.content.value, '10.0.0.2:1'))
    else this.#host.handle(received, '10.0.0.2:1')
  }

  hearState (wire: fleetWire.NodeState): void {
    this.#now += 7
    if (wire.part >= wire.parts) return
    const fragment = decodeState(fleetWire.NodeState.encode(wire).finish(), this.#now)
    const { assignments, quarantine, statements: { notices } } = this.#scheduler
    quarantine.received(decodeFacts(fragment.quarantine, this.#now))
    for (const each of fragment.notices.filter(({ requestLimit = 0 }) => requestLimit >= 0)) notices.record(decodeNotice(each, this.#now))
    const evacuated = decodeEvacuations(fragment.evacuations)
    if (evacuated !== null) this.#fleetState.restrictions.reported(evacuated)
    const received = this.#table.record(fragment, '10.0.0.2:1', this.#now)
    if (received !== null) assignments.setPeerAssignments(received.peer.node, received.assignments, this.#now, this.#now)
  }

  /** What goes on without a message. */
  rest (): void {
    this.#now += 3_000
    for (const peer of this.#table.expire(this.#now)) this.#scheduler.assignments.removePeer(peer.node, this.#now)
    this.#scheduler.serviceLoads()
    for (const id of ENGINES) this.#scheduler.explainedSilence(id as RunnerId)
    this.#scheduler.quarantine.facts()
    this.#scheduler.quarantine.counts()
    this.#scheduler.promisedRoom.counts(this.#now)
    this.#scheduler.statements.notices.shared(this.#now)
    this.#scheduler.statements.coldServers.count()
    this.#fleetState.expireServers()
  }
}

// Guards against LOST and against requests without an answer: a number of another node or of the configuration that ends the scheduler, or keeps it busy.
test('a scheduler answers whatever other nodes say, with engines of any figures', (t) => {
  let replies = 0
  fc.assert(fc.property(figures, count, fc.array(input, { minLength: 1, maxLength: 40 }), (engine, slots, inputs) => {
    const told = new ToldScheduler(engine, slots)
    const queries = inputs.filter(({ content }) => content?.$case === 'placementQuery' || content?.$case === 'silenceQuery').length
    for (const { state: wire, content } of inputs) {
      if (wire !== null) told.hearState(wire)
      if (content !== null) told.hear(content)
    }
    told.rest()
    replies += told.replies
    return told.replies >= queries
  }), RUNS)
  t.true(replies > RUNS.numRuns, `${replies} replies`)
})
