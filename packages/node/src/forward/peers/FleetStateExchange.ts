/** Exchanges the configuration and the list of backend servers between nodes, for nodes that cannot get them from the store. */
import { createServer } from 'node:http'
import type { Server } from 'node:http'
import { once } from 'node:events'

import type { Millis } from '@bluebellhill/domain'
import { describeFailure, readBody } from '@bluebellhill/services'
import type { HttpPool } from '@bluebellhill/services'

import type { FleetState, FleetStateVersion } from '../FleetState.js'
import type { Log } from '../../log/index.js'
import type { Peer } from './PeerTable.js'
import { decodeSnapshot } from './snapshotCodec.js'

const PATH = '/knowledge'

/** Largest snapshot that is read, in bytes. */
const MAX_SNAPSHOT_BYTES = 8 * 1024 * 1024

/** Timeout of a request to another node. */
const ANSWER_TIMEOUT: Millis = 1_000

/** How long a node with an older state waits for the store before it asks another node. */
const STORE_HEAD_START: Millis = 100

/** Longest random delay that is added to it, so that nodes do not all ask the first node that has the newer state. */
const MAX_JITTER: Millis = 100

/** Pause after a request to another node. */
const REPEAT_DELAY: Millis = 200

export interface FleetStateExchangeOptions {
  /** State that is served to other nodes, and updated from them. */
  readonly fleetState: FleetState
  /** HTTP client for calls to the other nodes. */
  readonly http: HttpPool
  /** Receives a line for each failed call. */
  readonly log: Log
  readonly failureDomain: string
  /** Returns the peers that are not lost. */
  readonly peers: () => readonly Peer[]
}

/** Serves this node's fleet state, and fetches newer states from other nodes. */
export class FleetStateExchange {
  readonly #server: Server
  #isFetching = false
  #isDisposed = false

  readonly #options: FleetStateExchangeOptions

  /** @param options - the fleet state, the peers and the HTTP client */
  constructor (options: FleetStateExchangeOptions) {
    this.#options = options
    this.#server = createServer((request, response) => {
      const requesterVersion = request.method === 'GET' ? parseRequestedVersion(request.url ?? '') : null
      response.writeHead(requesterVersion === null ? 404 : 200, { 'content-type': 'application/json', connection: 'close' })
      response.end(requesterVersion === null ? '' : JSON.stringify(options.fleetState.newerThan(requesterVersion)))
    })
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

  /** Fetches a newer state from another node, unless the store delivers it first. */
  catchUp (): void {
    if (this.#isFetching || this.#isDisposed) return
    this.#isFetching = true
    setTimeout(() => { void this.#fetchOnce() }, STORE_HEAD_START + MAX_JITTER * Math.random())
  }

  async #fetchOnce (): Promise<void> {
    const peer = this.#chooseSource()
    if (peer !== null) await this.#fetchFrom(peer)
    setTimeout(() => { this.#isFetching = false }, REPEAT_DELAY)
  }

  /** Returns a random peer with a newer state, in the same failure domain if there is one. */
  #chooseSource (): Peer | null {
    const { fleetState, failureDomain, peers } = this.#options
    const ahead = peers().filter((peer) => peer.configurationVersion > fleetState.configurationVersion || peer.serversRevision > fleetState.serversRevision)
    const sameDomain = ahead.filter((peer) => peer.failureDomain === failureDomain)
    const sources = sameDomain.length > 0 ? sameDomain : ahead
    return sources[Math.floor(Math.random() * sources.length)] ?? null
  }

  async #fetchFrom ({ node, address }: Peer): Promise<void> {
    const { fleetState, http, log } = this.#options
    const path = `${PATH}?configuration=${fleetState.configurationVersion}&servers=${fleetState.serversRevision}`
    const answer = await http.send({ address, method: 'GET', path, timeout: ANSWER_TIMEOUT, idleTimeout: ANSWER_TIMEOUT })
    const body = answer.ok ? await readBody(answer.value, MAX_SNAPSHOT_BYTES) : answer
    if (this.#isDisposed) return
    const snapshot = body.ok ? decodeSnapshot(body.value) : body
    if (snapshot.ok) fleetState.merge(snapshot.value)
    else log.warn('peers.catch_up_failed', { peer: node, reason: describeFailure(snapshot.failure) })
  }
}

/** @returns the versions that the requesting node has; null if the path is another one */
const parseRequestedVersion = (url: string): FleetStateVersion | null => {
  const [path, query = ''] = url.split('?', 2)
  if (path !== PATH) return null
  const parameters = new URLSearchParams(query)
  return { configuration: Number(parameters.get('configuration') ?? 0), servers: Number(parameters.get('servers') ?? 0) }
}
