/** Nodes with engines in three failure domains and two regions, which place attempts without sockets, for tests of evacuations and regions. */
import { AttemptHistory, CallKind, Readiness, SchedulerDirectory, WARM_UP } from '@bluebellhill/domain'
import type { BackendServer, FailureDomain, Millis, NodeId, PlacementChoice, PromptSize, Region, Route, RunnerId, SchedulerCandidate, Service } from '@bluebellhill/domain'

import type { AdmittedCall } from '../src/forward/AdmittedCall.js'
import { FleetState } from '../src/forward/FleetState.js'
import { decodeDatagram, encodeDatagram } from '../src/forward/peers/datagramCodec.js'
import type { DatagramContent } from '../src/forward/peers/datagramCodec.js'
import { PlacementClient } from '../src/forward/scheduling/PlacementClient.js'
import { Scheduler } from '../src/forward/scheduling/Scheduler.js'
import { SchedulerHost } from '../src/forward/scheduling/SchedulerHost.js'
import type { AttemptPlacement, PlacementSpec } from '../src/forward/scheduling/types.js'
import { LogLevel, openLog } from '../src/log/index.js'
import { DEPLOYMENT, LineCollector } from './forwardFixture.js'

export const [D1, D2, D3] = ['d1', 'd2', 'd3'] as FailureDomain[] as [FailureDomain, FailureDomain, FailureDomain]
export const [NORTH, SOUTH] = ['north', 'south'] as Region[] as [Region, Region]
const REGIONS = new Map([[D1, NORTH], [D2, NORTH], [D3, SOUTH]])

const ENGINE = { slots: 8, memory: 197_200, stepsPerPass: 48, step: 1.02, stepPerWriter: 0.007, stepPerThousandContext: 0.0025, readTokensPerMs: 206, readPerMillionPairs: 0.138, usualAnswer: 1_400 }
export const SERVICE: Service = { name: 'lm', healthPath: '/', maxConnections: 100, engine: ENGINE }
const ROUTE: Route = {
  name: 'chat', host: 'a', pathPrefix: '/', kind: CallKind.Stream, resumable: true, timeout: 15_000, objective: 6_000, pauseObjective: 1_000, priority: 1, maxAttempts: 2, isPublic: false, services: [{ service: 'lm', weight: 1 }]
}

export const SHORT: PromptSize = { prompt: 5_000, mostAnswer: 1_400 }
/** More than three engines hold. */
export const LONGEST: PromptSize = { prompt: 600_000, mostAnswer: 1_400 }

/** All servers that take part in an attempt. */
export const participants = ({ server, helpers, holders }: PlacementChoice): BackendServer[] => [server, ...helpers, ...holders.map((holder) => holder.server)]

export const domainsOf = (placement: AttemptPlacement): string[] => {
  if (placement.type !== 'placed') throw new Error(placement.reason)
  return [...new Set(participants(placement.attempt.choice).map(({ failureDomain }) => failureDomain))].sort()
}

/** One node; the clock of all is that of the test. */
export class RestrictedNode {
  readonly lines: string[] = []
  readonly sent: DatagramContent[] = []
  readonly fleetState: FleetState
  readonly scheduler: Scheduler
  readonly placement: PlacementClient
  readonly directory: SchedulerDirectory
  readonly self: SchedulerCandidate
  readonly #host: SchedulerHost
  #schedulerNode: RestrictedNode | null = null
  #revision = 1
  settlingTime: () => Millis = () => 0

  constructor (readonly clock: () => Millis = () => 0, engines: readonly [number, number, number] = [4, 4, 4], name = 'n1', address = `${name}:1`) {
    const node = name as NodeId
    const log = openLog({ node, failureDomain: D1, level: LogLevel.Info, transport: new LineCollector(this.lines) })
    this.self = { node, address, failureDomain: D1, processor: 1 }
    this.fleetState = new FleetState(log, clock, () => REGIONS)
    this.directory = new SchedulerDirectory(this.self, clock() - WARM_UP)
    this.scheduler = new Scheduler({ node, fleetState: this.fleetState, log, clock, runningClock: clock, retryBounds: () => ({ ratio: 0, slack: 100, window: 60_000 }), schedulerCount: () => 1, group: () => this.directory.group })
    const send = (_: string, content: DatagramContent): void => this.#send(content)
    this.#host = new SchedulerHost({ scheduler: this.scheduler, log, clock, runningClock: clock, send })
    this.placement = new PlacementClient({ node, scheduler: this.scheduler, directory: this.directory, fleetState: this.fleetState, log, clock, runningClock: clock, send, settlingTime: () => this.settlingTime(), onUncoordinatedPlacement: () => {}, onNotice: () => {} })
    this.fleetState.install({ ...DEPLOYMENT, services: [SERVICE] }, 'store')
    for (const [index, failureDomain] of [D1, D2, D3].entries()) for (let engine = 0; engine < engines[index]!; engine += 1) this.addEngine(failureDomain, engine)
  }

  addEngine (failureDomain: FailureDomain, index: number): void {
    const server: BackendServer = { id: `${failureDomain}-${index}` as RunnerId, service: 'lm', address: `10.9.${failureDomain.slice(1)}.${index}:80`, failureDomain, slots: ENGINE.slots, readiness: Readiness.Ready, startedAt: null }
    this.fleetState.putServer({ server, revision: 1 }, 'store')
  }

  /** Sets the failure domains that the store says are evacuated. */
  evacuate (...failureDomains: FailureDomain[]): void {
    this.fleetState.restrictions.listed({ failureDomains, revision: ++this.#revision })
  }

  /** Has another node place the attempts of this one. */
  askScheduler (other: RestrictedNode): void {
    this.#schedulerNode = other
    other.#schedulerNode = this
    this.directory.add({ ...other.self, processor: 9 })
    const state = { uptime: WARM_UP, isStopping: false, hasLostStore: false, configurationVersion: 1, serversRevision: 1 }
    for (const at of [this.clock() - WARM_UP, this.clock()]) this.directory.heard(other.self.node, state, at)
  }

  async place (size: PromptSize = SHORT, regions?: readonly Region[]): Promise<AttemptPlacement> {
    const now = this.clock()
    const call: AdmittedCall = {
      id: 'r1', method: 'POST', path: '/', headers: [], body: Buffer.alloc(0), route: ROUTE, service: SERVICE, organisation: null, urgency: 1, size, parts: [], isRelayed: false, triedServers: [], lastEventId: null, arrivedAt: now, dueAt: now + ROUTE.objective, deadlineAt: now + ROUTE.timeout, ...(regions === undefined ? {} : { regions })
    }
    return await this.placement.place(call, new AttemptHistory(ROUTE), false)
  }

  /** An attempt as the scheduler gets it. */
  spec (changes: Partial<PlacementSpec> = {}): PlacementSpec {
    return { request: 'r1', service: 'lm', size: SHORT, objective: ROUTE.objective, dueAt: this.clock() + ROUTE.objective, pauseObjective: ROUTE.pauseObjective, excluded: [], allowed: null, chargesRetry: false, isRedirected: false, isFirstAttempt: true, isSuspected: false, trialParts: [], ...changes }
  }

  #send (content: DatagramContent): void {
    this.sent.push(content)
    const to = this.#schedulerNode
    if (to === null) return
    const message = decodeDatagram(encodeDatagram(this.self.node, 1, content))
    setImmediate(() => {
      to.#host.handle(message, this.self.address)
      to.placement.handle(message, this.self.address)
    })
  }
}
