/** Exchanges the configuration and the list of backend servers between nodes, for nodes that cannot get them from the store. */
import { createServer } from 'node:http'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import { once } from 'node:events'
import { gunzipSync, gzipSync } from 'node:zlib'

import { describeRevision, eraOf, revisionInEra, storeRevision } from '@bluebellhill/domain'
import type { Millis, NodeId } from '@bluebellhill/domain'
import { describeFailure, failed, readBody, success } from '@bluebellhill/services'
import type { CallFailure, HttpPool, Result } from '@bluebellhill/services'

import type { FleetState, FleetStateSnapshot, FleetStateVersion } from '../FleetState.js'
import { ErrorScope, StateHop } from '../ForwardMetrics.js'
import type { ForwardMetrics } from '../ForwardMetrics.js'
import { errorText } from '../../log/index.js'
import type { Log } from '../../log/index.js'
import { limitConnections } from '../limitConnections.js'
import { isRelayed } from '../relay/relayHeaders.js'
import type { FleetStateSource } from './PeerLink.js'
import { decodeSnapshot, encodeSnapshot } from './snapshotCodec.js'

const PATH = '/knowledge'

/** Query parameter with which a node asks for changes only, compressed. Earlier builds neither send nor know it. */
const CHANGES_PARAMETER = 'changes'

/** Query parameter with the era of the store to which the revision belongs. Earlier builds neither send nor know it. */
const ERA_PARAMETER = 'era'

/** Time in which the head of a request has to arrive from another node. */
const HEAD_TIMEOUT: Millis = 3_000

/** Interval at which connections are checked for it. */
const CONNECTION_CHECK_PERIOD: Millis = 1_000

/** Largest request head that the HTTP parser accepts: that of a caller, and what the node that passes it on adds. */
const MAX_HEAD_BYTES = 160 * 1024

const GZIP = 'gzip'

/** Fastest compression: repeated field names make up most of a snapshot. */
const GZIP_LEVEL = 1

/** Largest snapshot that is read, in bytes. */
const MAX_SNAPSHOT_BYTES = 8 * 1024 * 1024

/** Timeout of a request to another node. */
const ANSWER_TIMEOUT: Millis = 1_000

/** Timeout while further nodes have the newer state: the one that was chosen may have stopped since it was heard. */
const FIRST_ANSWER_TIMEOUT: Millis = 400

/** Time after a failed request in which other nodes are preferred; a node that has stopped is no longer heard after it. */
const FAILED_SOURCE_PERIOD: Millis = 3_000

/** How long a node with an older state waits, so that one request returns several changes. */
const FETCH_DELAY: Millis = 30

/** Longest random delay that is added to it, so that nodes do not all ask the first node that has the newer state. */
const MAX_JITTER: Millis = 100

/** Pause after a request to another node. */
const REPEAT_DELAY: Millis = 100

export interface FleetStateExchangeOptions {
  /** State that is served to other nodes, and updated from them. */
  readonly fleetState: FleetState
  /** HTTP client for calls to the other nodes. */
  readonly http: HttpPool
  /** Receives a line for each failed call. */
  readonly log: Log
  readonly metrics: ForwardMetrics
  readonly clock: () => Millis
  readonly failureDomain: string
  /** Returns the nodes that were heard lately. */
  readonly peers: () => readonly FleetStateSource[]
  /** Largest number of connections of other nodes; absent for none. */
  readonly connectionLimit?: number
  /** Called with each caller's request that another node passes on. */
  readonly onRelayed: (request: IncomingMessage, response: ServerResponse) => void
}

/** Serves this node's fleet state, and fetches newer states from other nodes. */
export class FleetStateExchange {
  readonly #server: Server
  #isFetching = false
  /** Time since which another node is known to have a newer state; null if none is. */
  #behindSince: Millis | null = null
  #lastCompressed: { readonly key: string, readonly body: Buffer } = { key: '', body: Buffer.alloc(0) }
  #isDisposed = false

  /** Times of the last failed requests. */
  readonly #failures = new Map<NodeId, Millis>()

  readonly #options: FleetStateExchangeOptions

  /** @param options - the fleet state, the peers and the HTTP client */
  constructor (options: FleetStateExchangeOptions) {
    this.#options = options
    this.#server = createServer({ maxHeaderSize: MAX_HEAD_BYTES, headersTimeout: HEAD_TIMEOUT, connectionsCheckingInterval: CONNECTION_CHECK_PERIOD, requestTimeout: 0, noDelay: true }, (request, response) => {
      if (isRelayed(request.headers)) {
        options.onRelayed(request, response)
        return
      }
      const query = request.method === 'GET' ? parseQuery(request.url ?? '', eraOf(options.fleetState.serversRevision)) : null
      if (query === null) response.writeHead(404, { connection: 'close' }).end()
      else this.#answer(response, query)
    })
    limitConnections(this.#server, { connections: options.connectionLimit ?? Infinity, headBytes: MAX_HEAD_BYTES })
  }

  /**
   * @param host - IP number to listen on
   * @param port - TCP port; the other nodes use the same
   */
  async start (host: string, port: number): Promise<void> {
    this.#server.listen(port, host)
    await once(this.#server, 'listening')
  }

  dispose (): void {
    this.#isDisposed = true
    this.#server.close()
    this.#server.closeAllConnections()
  }

  #answer (response: ServerResponse, { version, wantsChanges }: SnapshotQuery): void {
    const { fleetState } = this.#options
    const headers = { 'content-type': 'application/json', connection: 'close' }
    if (wantsChanges) response.writeHead(200, { ...headers, 'content-encoding': GZIP }).end(this.#compressed(version))
    else response.writeHead(200, headers).end(encodeSnapshot(fleetState.newerThan(version)))
  }

  /** Many nodes ask for the same change at nearly the same time. */
  #compressed (version: FleetStateVersion): Buffer {
    const { fleetState } = this.#options
    // What is kept over an outage changes with time, without a new revision.
    if (fleetState.servers.keepsLapsed()) return compress(fleetState.changesSince(version))
    const key = [version.configuration, version.servers, fleetState.configurationVersion, fleetState.serversRevision].join()
    if (this.#lastCompressed.key !== key) this.#lastCompressed = { key, body: compress(fleetState.changesSince(version)) }
    return this.#lastCompressed.body
  }

  /** Fetches a newer state from another node, unless the store delivers it first. */
  catchUp (): void {
    if (this.#isDisposed) return
    this.#behindSince ??= this.#options.clock()
    if (this.#isFetching) return
    this.#isFetching = true
    setTimeout(() => { void this.#fetchAndRepeat() }, FETCH_DELAY + MAX_JITTER * Math.random())
  }

  async #fetchAndRepeat (): Promise<void> {
    try {
      await this.#fetchOnce()
    } catch (error) {
      this.#options.log.error('peers.catch_up_error', { reason: errorText(error) })
      this.#options.metrics.errorContained(ErrorScope.Task)
    } finally {
      setTimeout(() => this.#fetchEnded(), REPEAT_DELAY)
    }
  }

  async #fetchOnce (): Promise<void> {
    const sources = this.#sources()
    const peer = this.#chooseFrom(sources)
    if (peer === null) this.#behindSince = null
    else await this.#fetchFrom(peer, sources.length > 1 ? FIRST_ANSWER_TIMEOUT : ANSWER_TIMEOUT)
  }

  /** Changes that were announced during the last request are fetched by another one. */
  #fetchEnded (): void {
    this.#isFetching = false
    if (this.#sources().length > 0) this.catchUp()
  }

  /** Returns the peers with a newer state; those that have failed lately only if there is no other. */
  #sources (): FleetStateSource[] {
    const { fleetState, peers, clock } = this.#options
    const now = clock()
    for (const [node, failedAt] of this.#failures) if (now - failedAt > FAILED_SOURCE_PERIOD) this.#failures.delete(node)
    const ahead = peers().filter((peer) => fleetState.isBehind(peer))
    const answering = ahead.filter(({ node }) => !this.#failures.has(node))
    return answering.length > 0 ? answering : ahead
  }

  /** Returns a random source, in the same failure domain if there is one. */
  #chooseFrom (sources: readonly FleetStateSource[]): FleetStateSource | null {
    const sameDomain = sources.filter((peer) => peer.failureDomain === this.#options.failureDomain)
    const preferred = sameDomain.length > 0 ? sameDomain : sources
    return preferred[Math.floor(Math.random() * preferred.length)] ?? null
  }

  async #fetchFrom ({ node, address }: FleetStateSource, timeout: Millis): Promise<void> {
    const { fleetState, http, log, clock } = this.#options
    const { configuration, servers: serversRevision } = fleetState.knownVersion
    const path = `${PATH}?configuration=${configuration}&servers=${revisionInEra(serversRevision)}&${ERA_PARAMETER}=${eraOf(serversRevision)}&${CHANGES_PARAMETER}=1`
    const answer = await http.send({ address, method: 'GET', path, timeout, idleTimeout: ANSWER_TIMEOUT })
    const body = answer.ok ? await readBody(answer.value, MAX_SNAPSHOT_BYTES) : answer
    if (this.#isDisposed) return
    const bytes = body.ok ? decompress(body.value) : body
    const snapshot = bytes.ok ? decodeSnapshot(bytes.value, { era: eraOf(serversRevision), isKeyRequired: fleetState.routeTable?.isKeyRequired === true }) : bytes
    if (snapshot.ok) {
      this.#failures.delete(node)
      this.#install(node, snapshot.value)
      return
    }
    this.#failures.set(node, clock())
    log.warn('peers.catch_up_failed', { peer: node, reason: describeFailure(snapshot.failure), behind_ms: this.#behindFor() })
  }

  #install (node: NodeId, snapshot: FleetStateSnapshot): void {
    const { fleetState, metrics, log } = this.#options
    const behind = this.#behindFor()
    this.#behindSince = null
    fleetState.merge(snapshot)
    metrics.stateHopEnded(StateHop.Peer, behind)
    log.info('peers.caught_up', { peer: node, behind_ms: behind, configuration: fleetState.configurationVersion, servers_revision: describeRevision(fleetState.serversRevision) })
  }

  #behindFor (): Millis {
    const { clock } = this.#options
    return Math.round(clock() - (this.#behindSince ?? clock()))
  }
}

interface SnapshotQuery {
  /** Versions that the requesting node has. */
  readonly version: FleetStateVersion
  /** Whether it understands a compressed list of changes. */
  readonly wantsChanges: boolean
}

/** @returns the query; null if the path is another one */
const parseQuery = (url: string, ownEra: number): SnapshotQuery | null => {
  const [path, query = ''] = url.split('?', 2)
  if (path !== PATH) return null
  const parameters = new URLSearchParams(query)
  const servers = storeRevision(Number(parameters.get(ERA_PARAMETER) ?? ownEra), Number(parameters.get('servers') ?? 0))
  const version = { configuration: Number(parameters.get('configuration') ?? 0), servers }
  return { version, wantsChanges: parameters.has(CHANGES_PARAMETER) }
}

const compress = (snapshot: FleetStateSnapshot): Buffer => gzipSync(encodeSnapshot(snapshot), { level: GZIP_LEVEL })

/** Nodes of earlier builds answer without compression. */
const decompress = (body: Buffer): Result<Buffer, CallFailure> => {
  if (!isGzip(body)) return success(body)
  try {
    return success(gunzipSync(body, { maxOutputLength: MAX_SNAPSHOT_BYTES }))
  } catch (error) {
    return failed({ type: 'malformed', reason: error instanceof Error ? error.message : String(error) })
  }
}

/** @returns whether bytes start with the magic number of gzip */
const isGzip = (body: Buffer): boolean => body[0] === 0x1f && body[1] === 0x8b
