/** Starts an entry server with scripted backend servers on loopback addresses, for tests. */
import { once } from 'node:events'
import { createServer, request as httpRequest } from 'node:http'
import type { IncomingHttpHeaders, IncomingMessage, Server, ServerResponse } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'

import type { ExecutionContext } from 'ava'
import Transport from 'winston-transport'

import { CallKind, Readiness, SchedulerDirectory } from '@bluebellhill/domain'
import type { Deployment, FailureDomain, Millis, NodeId, Route, RunnerId, SchedulerCandidate } from '@bluebellhill/domain'

import { EngineMemoryClient, HeaderName } from '@bluebellhill/platform'
import { HttpPool } from '@bluebellhill/services'

import { AnswerMemory } from '../src/forward/backend/AnswerMemory.js'
import { NodeBuffers } from '../src/forward/buffers/NodeBuffers.js'
import { EntryServer } from '../src/forward/entry/EntryServer.js'
import { ForwardMetrics } from '../src/forward/ForwardMetrics.js'
import { ReadTurns } from '../src/forward/ReadTurns.js'
import { FleetState } from '../src/forward/FleetState.js'
import type { NodeQuarantine } from '../src/forward/quarantine/NodeQuarantine.js'
import { PlacementClient } from '../src/forward/scheduling/PlacementClient.js'
import { Relay } from '../src/forward/relay/Relay.js'
import { Scheduler } from '../src/forward/scheduling/Scheduler.js'
import { StartTimes } from '../src/forward/StartTimes.js'
import { LogLevel, openLog } from '../src/log/index.js'
import type { Log } from '../src/log/index.js'

export const HOST = 'a.example'
export const KEY = 'the-key-of-growers'

/** Deadline in milliseconds of a request whose first server stays silent: another one is asked after half of it. */
export const TIME_FOR_TWO_ATTEMPTS = '6000'

const SELF: SchedulerCandidate = { node: 'n1' as NodeId, address: '127.0.0.1:1', failureDomain: 'd1' as FailureDomain, processor: 1 }

/** Creates a log whose lines are discarded. */
export const silentLog = (): Log => openLog({ node: 'n', failureDomain: 'd', level: LogLevel.Error, transport: new LineCollector([]) })

/** Returns the headers of a signed answer to a request. */
export const signedHeaders = (request: IncomingMessage): Record<string, string> => ({
  [HeaderName.AttemptId]: String(request.headers[HeaderName.AttemptId]),
  [HeaderName.Signature]: 'signature'
})

const ROUTES: readonly Route[] = [
  { name: 'safe', kind: CallKind.Safe, maxAttempts: 2 },
  { name: 'patient', kind: CallKind.Safe, maxAttempts: 2, timeout: 30_000 },
  { name: 'unsafe', kind: CallKind.Unsafe, maxAttempts: 2 },
  { name: 'stream', kind: CallKind.Stream, maxAttempts: 2, resumable: true },
  { name: 'patient-unsafe', kind: CallKind.Unsafe, maxAttempts: 2, timeout: 30_000 },
  { name: 'patient-stream', kind: CallKind.Stream, maxAttempts: 2, resumable: true, timeout: 30_000 },
  { name: 'patient-once', kind: CallKind.Stream, maxAttempts: 2, resumable: false, timeout: 30_000 },
  { name: 'once', kind: CallKind.Stream, maxAttempts: 2, resumable: false },
  { name: 'pausing', kind: CallKind.Stream, maxAttempts: 2, resumable: true, timeout: 30_000 }
].map((route) => ({
  host: HOST, pathPrefix: `/${route.name}/`, resumable: false, timeout: 30_000, objective: 300, pauseObjective: 200, priority: 1, isPublic: false, services: [{ service: 's', weight: 1 }], ...route
}))

export const DEPLOYMENT: Deployment = {
  version: 1,
  routes: ROUTES,
  services: [{ name: 's', healthPath: '/healthz', maxConnections: 100, engine: null }],
  limits: { headerBytes: 4_096, bodyBytes: 1_024, headerTimeout: 1_000, idleTimeout: 10_000 },
  organisations: [{ name: 'growers', apiKeys: [KEY], priority: null }]
}

export type Script = (request: IncomingMessage, response: ServerResponse, socket: Socket) => void

export interface Answer {
  readonly status: number
  readonly headers: IncomingHttpHeaders
  readonly body: string
  /** Whether the answer was complete. */
  readonly whole: boolean
}

/** One entry server and its backend servers. */
export class ForwardFixture {
  readonly lines: string[] = []
  readonly fleetState: FleetState
  readonly entry: EntryServer
  readonly buffers: NodeBuffers
  readonly startTimes: StartTimes
  readonly placement: PlacementClient
  readonly relay: Relay
  readonly metrics = new ForwardMetrics()
  readonly quarantine: NodeQuarantine
  readonly directory: SchedulerDirectory
  /** Clock of the node; a test may stop it. */
  clock: () => Millis = () => performance.now()
  /** Greatest share of requests that may be hedged; null to send no hedges. */
  hedgeRatio: number | null = null
  readonly #servers: Server[] = []
  #port = 0
  #nextAttemptId = 1

  /**
   * @param bufferLimit - bytes that the node may buffer; null for no limit
   * @param requestLimit - requests that it may have open; null for no limit
   */
  constructor (bufferLimit: number | null = null, requestLimit: number | null = null) {
    const { lines } = this
    const log = openLog({ node: 'n1', failureDomain: 'd1', level: LogLevel.Info, transport: new LineCollector(lines) })
    const clock = (): Millis => this.clock()
    this.fleetState = new FleetState(log, clock)
    const directory = new SchedulerDirectory(SELF, clock())
    this.directory = directory
    const scheduler = new Scheduler({
      node: SELF.node, fleetState: this.fleetState, log, clock, runningClock: clock, retryBounds: () => ({ ratio: 0.2, slack: 100, window: 10_000 }), hedgeRatio: () => this.hedgeRatio, schedulerCount: () => 1, group: () => directory.group
    })
    this.quarantine = scheduler.quarantine
    this.placement = new PlacementClient({ node: SELF.node, scheduler, directory, fleetState: this.fleetState, log, clock, runningClock: clock, send: () => {}, onUncoordinatedPlacement: () => {}, onNotice: () => {} })
    this.relay = new Relay({
      node: SELF.node, failureDomain: SELF.failureDomain, directory, fleetState: this.fleetState, log, clock, runningClock: clock, onServerUnreachable: (server) => this.placement.reportUnreachable(server)
    })
    this.startTimes = new StartTimes({ log, metrics: this.metrics, clock, processorTime: () => 0 })
    this.buffers = new NodeBuffers({ limit: bufferLimit, requestLimit, log, metrics: this.metrics, clock })
    this.entry = new EntryServer({ relay: this.relay, placement: this.placement, fleetState: this.fleetState, log, metrics: this.metrics, startTimes: this.startTimes, memory: new EngineMemoryClient(new HttpPool(2), 5_000), answerMemory: new AnswerMemory(), readTurns: new ReadTurns(), buffers: this.buffers, clock })
  }

  /** Starts the entry server with backend servers that follow the scripts. */
  static async start (t: ExecutionContext, ...scripts: Script[]): Promise<ForwardFixture> {
    const fixture = new ForwardFixture()
    for (const [index, script] of scripts.entries()) await fixture.#addServer(`e${index}`, script)
    if (scripts.length > 0) fixture.fleetState.install(DEPLOYMENT, 'store')
    fixture.#port = await fixture.entry.start({ host: '127.0.0.1', port: 0 })
    t.teardown(() => fixture.dispose())
    return fixture
  }

  /** Starts the entry server with backend servers that listen on these ports of the loopback address. */
  static async startWithPorts (t: ExecutionContext, ports: readonly number[], bufferLimit: number | null = null, requestLimit: number | null = null): Promise<ForwardFixture> {
    const fixture = new ForwardFixture(bufferLimit, requestLimit)
    for (const [index, port] of ports.entries()) fixture.#listServer(`e${index}`, port)
    fixture.fleetState.install(DEPLOYMENT, 'store')
    fixture.#port = await fixture.entry.start({ host: '127.0.0.1', port: 0 })
    t.teardown(() => fixture.dispose())
    return fixture
  }

  /** Listens to other nodes. Returns `ip:port`. */
  async listenToNodes (): Promise<string> {
    const server = createServer((request, response) => { void this.entry.serveRelayed(request, response) })
    server.listen(0, '127.0.0.1')
    await once(server, 'listening')
    this.#servers.push(server)
    return `127.0.0.1:${(server.address() as AddressInfo).port}`
  }

  async call (path: string, options: { method?: string, headers?: Record<string, string>, body?: string, disconnection?: AbortSignal } = {}): Promise<Answer> {
    const request = httpRequest({
      host: '127.0.0.1',
      port: this.#port,
      path,
      method: options.method ?? 'POST',
      agent: false,
      headers: { host: HOST, authorization: `Bearer ${KEY}`, [HeaderName.AttemptId]: `a${this.#nextAttemptId++}`, ...options.headers }
    })
    options.disconnection?.addEventListener('abort', () => request.destroy())
    request.end(options.body ?? 'body')
    return await receiveAnswer(request)
  }

  get port (): number {
    return this.#port
  }

  /** Returns the log lines of an event. */
  linesOf (event: string): string[] {
    return this.lines.filter((line) => line.includes(`event=${event} `))
  }

  /** Registers a backend server anew, as after a restart under the same id and address. */
  restartServer (id: string): void {
    const server = this.fleetState.servers.find(id as RunnerId)
    if (server === null) throw new Error(`no server ${id}`)
    this.fleetState.putServer({ server: { ...server, startedAt: (server.startedAt ?? 0) + 1 }, revision: this.fleetState.serversRevision + 1 }, 'store')
  }

  /** Installs a configuration whose routes and services are gone. */
  removeServices (): void {
    this.fleetState.install({ ...DEPLOYMENT, version: 2, routes: [], services: [] }, 'store')
  }

  async dispose (): Promise<void> {
    this.relay.dispose()
    await this.entry.stop(0)
    for (const server of this.#servers) {
      server.closeAllConnections()
      server.close()
    }
  }

  async #addServer (id: string, script: Script): Promise<void> {
    const server = createServer((request, response) => {
      request.resume()
      script(request, response, request.socket)
    })
    server.listen(0, '127.0.0.1')
    await once(server, 'listening')
    this.#servers.push(server)
    this.#listServer(id, (server.address() as AddressInfo).port)
  }

  #listServer (id: string, port: number): void {
    const listed = { id: id as RunnerId, service: 's', address: `127.0.0.1:${port}`, failureDomain: 'd1' as FailureDomain, slots: 4, readiness: Readiness.Ready, startedAt: 1 }
    this.fleetState.putServer({ server: listed, revision: 1 }, 'store')
  }
}

export class LineCollector extends Transport {
  constructor (private readonly lines: string[]) {
    super()
  }

  override log (info: { message: unknown }, done: () => void): void {
    this.lines.push(String(info.message))
    done()
  }
}

const receiveAnswer = async (request: ReturnType<typeof httpRequest>): Promise<Answer> => await new Promise((resolve, reject) => {
  request.on('error', reject)
  request.on('response', (response) => {
    let body = ''
    const finish = (): void => resolve({ status: response.statusCode ?? 0, headers: response.headers, body, whole: response.complete })
    response.on('data', (chunk: Buffer) => { body += chunk.toString() })
    response.on('error', finish)
    response.on('close', finish)
  })
})
