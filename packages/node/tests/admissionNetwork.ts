/** Nodes that place requests of a memory-bound service through one scheduler, over a network in memory, in virtual time. */
import { mock } from 'node:test'
import { setImmediate as nextTurn } from 'node:timers/promises'

import { AttemptHistory, SchedulerDirectory, WARM_UP } from '@bluebellhill/domain'
import type { Assignment, CandidateState, FailureDomain, Millis, NodeId, SchedulerCandidate } from '@bluebellhill/domain'

import type { AdmittedCall } from '../src/forward/AdmittedCall.js'
import { FleetState } from '../src/forward/FleetState.js'
import { decodeDatagram, encodeDatagram } from '../src/forward/peers/datagramCodec.js'
import type { DatagramContent } from '../src/forward/peers/datagramCodec.js'
import { PlacementClient } from '../src/forward/scheduling/PlacementClient.js'
import { Scheduler } from '../src/forward/scheduling/Scheduler.js'
import { SchedulerHost } from '../src/forward/scheduling/SchedulerHost.js'
import type { AttemptPlacement } from '../src/forward/scheduling/types.js'
import { engine, LONG, ROUTES, SERVICE, SHORT } from './admissionFleet.js'
import type { Kind } from './admissionFleet.js'
import { DEPLOYMENT, silentLog } from './forwardFixture.js'

const STATE: CandidateState = { uptime: WARM_UP + 1, isStopping: false, hasLostStore: false, configurationVersion: 1, serversRevision: 1 }

/** Turns of the event loop after which all messages of one moment are delivered. */
const TURNS = 8

export interface TestNode {
  readonly self: SchedulerCandidate
  readonly scheduler: Scheduler
  readonly placement: PlacementClient
  readonly directory: SchedulerDirectory
  readonly host: SchedulerHost
  readonly fleetState: FleetState
  /** Time for which it was paused. */
  paused: Millis
}

export interface Message { readonly from: TestNode, readonly to: TestNode, readonly content: DatagramContent }

/** A request in progress; the result is null until it is decided on. */
export interface Placing { result: AttemptPlacement | null, readonly leave: () => void, readonly call: AdmittedCall }

/** Nodes that know each other, with one engine each; the first is the scheduler of all. */
export class AdmissionNetwork {
  now: Millis = 0
  readonly nodes: TestNode[] = []
  readonly messages: Message[] = []
  /** Returns whether a message is lost. */
  loses: (message: Message) => boolean = () => false
  /** Changes a query or reply on its way. */
  changes: (content: DatagramContent) => void = () => {}
  #nextRequest = 1

  constructor (count: number) {
    for (let index = 0; index < count; index += 1) this.nodes.push(this.#createNode(index))
    for (const node of this.nodes) {
      for (const { self } of this.nodes) {
        node.directory.add(self)
        for (const at of [this.now - WARM_UP - 1, this.now]) node.directory.heard(self.node, STATE, at)
      }
    }
  }

  /** Lets time pass, with all timers and messages that are due. */
  async advance (time: Millis): Promise<void> {
    for (const end = this.now + time; this.now < end;) {
      this.now += 1
      mock.timers.tick(1)
      for (let turn = 0; turn < TURNS; turn += 1) await nextTurn()
      if (this.now % 100 === 0) this.#hearAll()
    }
  }

  /** Occupies the engine with a long prompt, for about 0.8 s by the forecast, as far as the given nodes know. Returns what ends it. */
  occupy (nodes: readonly TestNode[] = this.nodes, answer = 480): () => void {
    const draft: Omit<Assignment, 'id'> = { server: engine(0).id, helpers: [], reservations: [], prompt: LONG.prompt, answer, prefillTime: 300, sentAt: this.now, isPrefilled: false, pauseObjective: null, dueAt: this.now + 1_000, isDeferred: false }
    const started = nodes.map(({ scheduler }) => ({ scheduler, assignment: scheduler.assignments.start(draft) }))
    return () => { for (const { scheduler, assignment } of started) scheduler.assignments.end(assignment, this.now) }
  }

  /** Starts to place a request of a node. */
  place (node: TestNode, { objective, pause, prompt, timeout }: Kind = SHORT, chargesRetry = false): Placing {
    const route = { ...ROUTES[0]!, objective, pauseObjective: pause, timeout }
    const call: AdmittedCall = {
      id: `r${this.#nextRequest++}`, method: 'POST', path: '/', headers: [], body: Buffer.alloc(0), route, service: SERVICE, organisation: 'o', urgency: 5, size: { prompt, mostAnswer: 1_400 }, parts: [], isRelayed: false, triedServers: [], lastEventId: null, arrivedAt: this.now, dueAt: this.now + objective, deadlineAt: this.now + timeout
    }
    const caller = new AbortController()
    const placing: Placing = { result: null, leave: () => caller.abort(), call }
    void node.placement.place(call, new AttemptHistory(route), chargesRetry, undefined, { mayWait: true, signal: caller.signal }).then((result) => { placing.result = result })
    return placing
  }

  /** Requests on the engine, as a node counts them. */
  counted ({ scheduler, paused }: TestNode): number {
    return scheduler.assignments.serverLoads(this.now, this.now - paused).get(engine(0).id).requests.length
  }

  /** Messages of one kind that a node has sent. */
  sent (node: TestNode, kind: DatagramContent['$case'], result?: string): Message[] {
    return this.messages.filter(({ from, content }) => from === node && content.$case === kind &&
      (result === undefined || (content.$case === 'placementReply' && content.value.result?.$case === result)))
  }

  #hearAll (): void {
    for (const node of this.nodes) {
      for (const other of this.nodes) {
        const message: Message = { from: other, to: node, content: { $case: 'silenceReply', value: { number: 0, explainedMs: 0 } } }
        if (!this.loses(message)) node.directory.heard(other.self.node, STATE, this.now - node.paused)
      }
    }
  }

  #createNode (index: number): TestNode {
    const log = silentLog()
    const clock = (): Millis => this.now
    const runningClock = (): Millis => this.now - node.paused
    const self: SchedulerCandidate = { node: `n${index}` as NodeId, address: `10.0.0.${index}:1`, failureDomain: 'd1' as FailureDomain, processor: 100 - index }
    const fleetState = new FleetState(log, clock)
    fleetState.install({ ...DEPLOYMENT, routes: ROUTES, services: [SERVICE] }, 'store')
    fleetState.putServer({ server: engine(0), revision: 1 }, 'store')
    const directory = new SchedulerDirectory(self, this.now - WARM_UP - 1)
    const setTimer = (run: () => void, delay: Millis): void => { setTimeout(run, delay) }
    const scheduler = new Scheduler({ node: self.node, fleetState, log, clock, runningClock, retryBounds: () => ({ ratio: 0, slack: 10, window: 1_000_000 }), schedulerCount: () => 1, group: () => directory.group, setTimer })
    const send = (address: string, content: DatagramContent): void => this.#deliver(node, address, content)
    const host = new SchedulerHost({ scheduler, log, clock, runningClock, send })
    const placement = new PlacementClient({ node: self.node, scheduler, directory, fleetState, log, clock, runningClock, send, onUncoordinatedPlacement: () => {}, onNotice: () => {} })
    const node: TestNode = { self, scheduler, placement, directory, host, fleetState, paused: 0 }
    return node
  }

  #deliver (from: TestNode, address: string, content: DatagramContent): void {
    const to = this.nodes.find(({ self }) => self.address === address)
    if (to === undefined) return
    this.changes(content)
    const message = { from, to, content }
    this.messages.push(message)
    if (this.loses(message)) return
    const datagram = encodeDatagram(from.self.node, 1, content)
    setImmediate(() => {
      const received = decodeDatagram(datagram)
      to.host.handle(received, from.self.address)
      to.placement.handle(received, from.self.address)
    })
  }
}

/** Server of a placed request; empty if it is not placed. */
export const serverOf = ({ result }: Placing): string => result?.type === 'placed' ? result.attempt.choice.server.id : ''

/** Reason of a refused request; empty if it is not refused. */
export const reasonOf = ({ result }: Placing): string => result?.type === 'refused' ? result.reason : ''
