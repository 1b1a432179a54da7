/** Hands the configuration and the list of backend servers from node to node, for nodes that the store does not serve. */
import { createServer } from 'node:http'
import type { Server } from 'node:http'
import { once } from 'node:events'

import type { Millis } from '@bluebellhill/domain'
import { describeFailure, readBody } from '@bluebellhill/services'
import type { HttpPool } from '@bluebellhill/services'

import type { Knowledge, KnowledgeSnapshot } from '../Knowledge.js'
import type { Log } from '../../log/index.js'
import type { Peer } from './PeerTable.js'

const PATH = '/knowledge'

/** Bytes of a snapshot that are read at most. */
const MOST_SNAPSHOT_BYTES = 8 * 1024 * 1024

/** Time within which a node answers. */
const ANSWER_TIMEOUT: Millis = 1_000

/** How long a node that is behind waits for the store before it asks another node. */
const STORE_ADVANTAGE: Millis = 100

/** Pause after a node has been asked. */
const REPEAT_DELAY: Millis = 200

/** Serves this node's knowledge, and fetches it from nodes that know more. */
export class KnowledgeExchange {
  readonly #server: Server
  #fetching = false
  #disposed = false

  /**
   * @param knowledge - what is handed on and kept current
   * @param http - calls the other nodes
   * @param log - gets a line for each failed call
   */
  constructor (private readonly knowledge: Knowledge, private readonly http: HttpPool, private readonly log: Log) {
    this.#server = createServer((request, response) => {
      const found = request.method === 'GET' && request.url === PATH
      response.writeHead(found ? 200 : 404, { 'content-type': 'application/json', connection: 'close' })
      response.end(found ? JSON.stringify(knowledge.snapshot()) : '')
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
    this.#disposed = true
    this.#server.close()
    this.#server.closeAllConnections()
  }

  /**
   * Fetches what a node knows better, unless the store brings it first.
   *
   * @param peer - a node that is ahead
   */
  catchUp (peer: Peer): void {
    if (this.#fetching || this.#disposed) return
    this.#fetching = true
    setTimeout(() => { void this.#fetch(peer) }, STORE_ADVANTAGE)
  }

  async #fetch (peer: Peer): Promise<void> {
    if (this.#isBehind(peer)) await this.#ask(peer)
    setTimeout(() => { this.#fetching = false }, REPEAT_DELAY)
  }

  #isBehind (peer: Peer): boolean {
    return peer.configurationVersion > this.knowledge.version || peer.serversRevision > this.knowledge.serversRevision
  }

  async #ask ({ node, address }: Peer): Promise<void> {
    const answer = await this.http.send({ address, method: 'GET', path: PATH, timeout: ANSWER_TIMEOUT, idleTimeout: ANSWER_TIMEOUT })
    const body = answer.ok ? await readBody(answer.value, MOST_SNAPSHOT_BYTES) : answer
    if (this.#disposed) return
    if (!body.ok) {
      this.log.warn('peers.catch_up_failed', { peer: node, reason: describeFailure(body.failure) })
      return
    }
    this.#merge(node, body.value)
  }

  #merge (node: string, body: Buffer): void {
    try {
      this.knowledge.merge(JSON.parse(body.toString('utf8')) as KnowledgeSnapshot)
    } catch (error) {
      this.log.warn('peers.catch_up_failed', { peer: node, reason: error instanceof Error ? error.message : String(error) })
    }
  }
}
