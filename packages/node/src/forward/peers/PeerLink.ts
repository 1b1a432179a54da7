/** Tells the other nodes of this node's work, and hears of theirs. */
import { createSocket } from 'node:dgram'
import type { RemoteInfo, Socket, SocketOptions } from 'node:dgram'
import { once } from 'node:events'

import { AssignmentChange } from '@bluebellhill/domain'
import type { FleetAssignments, Millis, NodeId } from '@bluebellhill/domain'

import type { Knowledge } from '../Knowledge.js'
import type { Log } from '../../log/index.js'
import { PeerTable } from './PeerTable.js'
import type { Peer } from './PeerTable.js'
import { decodeState, encodeState } from './stateCodec.js'

/** Interval at which a state is sent though nothing has changed. */
const HEARTBEAT_PERIOD: Millis = 600

/** A heartbeat is left out where a state was sent this shortly before. */
const FRESH_STATE: Millis = 400

/** How long changes are gathered before they are sent together: what takes a place is told at once, what frees one soon. */
const GATHERING_TIMES: Readonly<Record<AssignmentChange, Millis>> = {
  [AssignmentChange.Started]: 1,
  [AssignmentChange.StartedPlain]: 80,
  [AssignmentChange.Prefilled]: 60,
  [AssignmentChange.Ended]: 120
}

/** Heartbeats between two that name the known nodes; a node that is new is told at once. */
const HEARTBEATS_PER_INTRODUCTION = 16

const IP_VERSION = 4

/** Addresses are numbers: nothing has to be looked up. */
const numericOnly: SocketOptions['lookup'] = (host, _, answer) => answer(null, host, IP_VERSION)

export interface PeerLinkOptions {
  readonly node: NodeId
  readonly failureDomain: string
  readonly host: string
  /** UDP port; the other nodes use the same. */
  readonly port: number
  /** Wall-clock milliseconds at which this process started. */
  readonly startedAt: number
  readonly work: FleetAssignments
  readonly knowledge: Knowledge
  readonly log: Log
  readonly clock: () => Millis
  /** Told that another node knows more. */
  readonly onAhead: () => void
  /** Whether the platform's store does not answer this node. */
  readonly isStoreLost: () => boolean
  /** Told that the store no longer answers another node. */
  readonly onStoreLost: () => void
}

/** Exchanges states over UDP. */
export class PeerLink {
  readonly table = new PeerTable()
  readonly #options: PeerLinkOptions
  readonly #socket: Socket = createSocket({ type: 'udp4', lookup: numericOnly })
  #sequence = 0
  #heartbeats = 0
  #pending: NodeJS.Timeout | null = null
  #pendingUntil: Millis = Infinity
  #sentAt: Millis = -Infinity
  #sentWorks = 0
  #heartbeat: NodeJS.Timeout | null = null
  #stopping = false
  #closed = false
  #undelivered = 0
  #malformed = 0

  /** @param options - this node, its account and its socket */
  constructor (options: PeerLinkOptions) {
    this.#options = options
    this.#socket.on('message', (datagram, remote) => this.#receive(datagram, remote))
    this.#socket.on('error', (error) => {
      this.#undelivered += 1
      options.log.warn('peers.socket_error', { reason: error.message })
    })
  }

  /** Datagrams that could not be sent, and those that could not be read. */
  get counters (): { readonly undelivered: number, readonly malformed: number } {
    return { undelivered: this.#undelivered, malformed: this.#malformed }
  }

  /** @throws Error where the port cannot be bound */
  async start (): Promise<void> {
    const listening = once(this.#socket, 'listening')
    this.#socket.bind(this.#options.port, this.#options.host)
    await listening
    this.#heartbeat = setInterval(() => this.#beat(), HEARTBEAT_PERIOD)
    this.#beat()
  }

  /**
   * Notes where other nodes may be.
   *
   * @param addresses - `ip:port` of nodes
   */
  named (addresses: readonly string[]): void {
    const own = `${this.#options.host}:${this.#options.port}`
    this.table.named(addresses.filter((address) => address !== own), this.#options.clock())
  }

  /** This node's work has changed: the others are told soon. */
  workChanged (change: AssignmentChange): void {
    const now = this.#options.clock()
    const until = now + GATHERING_TIMES[change]
    if (until >= this.#pendingUntil) return
    if (this.#pending !== null) clearTimeout(this.#pending)
    this.#pendingUntil = until
    this.#pending = setTimeout(() => this.#sendChange(), until - now)
  }

  /** The others hear that the store no longer answers this node. */
  storeLost (): void {
    this.#send()
  }

  /** The others hear that this node stops. */
  stopping (): void {
    this.#stopping = true
    this.#send()
  }

  dispose (): void {
    if (this.#closed) return
    this.#closed = true
    if (this.#pending !== null) clearTimeout(this.#pending)
    if (this.#heartbeat !== null) clearInterval(this.#heartbeat)
    this.#socket.close()
  }

  #beat (): void {
    const now = this.#options.clock()
    for (const peer of this.table.expire(now)) {
      this.#options.work.removePeer(peer.node, now)
      this.#options.log.warn('peer.lost', { peer: peer.node, silent_ms: Math.round(now - peer.heardAt) })
    }
    this.#heartbeats += 1
    const introducing = this.#heartbeats % HEARTBEATS_PER_INTRODUCTION === 1
    if (introducing || now - this.#sentAt > FRESH_STATE) this.#send(introducing)
  }

  /** Tells the others of a change, unless it has passed already. */
  #sendChange (): void {
    this.#pending = null
    this.#pendingUntil = Infinity
    if (this.#sentWorks > 0 || this.#options.work.own().length > 0) this.#send()
  }

  #send (introducing = false): void {
    if (this.#pending !== null) clearTimeout(this.#pending)
    this.#pending = null
    this.#pendingUntil = Infinity
    if (this.#closed) return
    this.#sentAt = this.#options.clock()
    this.#sentWorks = this.#options.work.own().length
    const datagrams = this.#state(introducing)
    for (const address of this.table.addresses()) for (const datagram of datagrams) this.#transmit(datagram, address)
  }

  #introduce (address: string): void {
    if (this.#closed) return
    for (const datagram of this.#state(true)) this.#transmit(datagram, address)
  }

  #state (introducing: boolean): Uint8Array[] {
    const { node, failureDomain, startedAt, work, knowledge, clock, isStoreLost } = this.#options
    this.#sequence += 1
    return encodeState({
      node,
      startedAt,
      sequence: this.#sequence,
      configurationVersion: knowledge.version,
      serversRevision: knowledge.serversRevision,
      stopping: this.#stopping,
      storeLost: isStoreLost(),
      works: work.own(),
      peers: introducing ? this.table.heard().map(({ address }) => address) : [],
      failureDomain: introducing ? failureDomain : ''
    }, clock())
  }

  #transmit (datagram: Uint8Array, address: string): void {
    const [host = '', port = ''] = address.split(':')
    this.#socket.send(datagram, Number(port), host, (error) => {
      if (error !== null) this.#undelivered += 1
    })
  }

  #receive (datagram: Buffer, remote: RemoteInfo): void {
    const { work, knowledge, clock, onAhead, onStoreLost, node } = this.#options
    const now = clock()
    const part = this.#decode(datagram, now)
    if (part === null || part.node === node) return
    const heard = this.table.hear(part, `${remote.address}:${remote.port}`, now)
    if (heard === null) return
    work.setPeerAssignments(heard.peer.node, heard.works, now)
    this.named(part.peers)
    if (heard.isNew) this.#found(heard.peer)
    const ahead = heard.peer.configurationVersion > knowledge.version || heard.peer.serversRevision > knowledge.serversRevision
    if (ahead) onAhead()
    if (heard.lostStore) onStoreLost()
  }

  #found ({ node, address, startedAt }: Peer): void {
    this.#options.log.info('peer.found', { peer: node, address, started_at: startedAt })
    this.#introduce(address)
  }

  #decode (datagram: Buffer, now: Millis): ReturnType<typeof decodeState> | null {
    try {
      return decodeState(datagram, now)
    } catch (error) {
      this.#malformed += 1
      this.#options.log.warn('peers.datagram_malformed', { reason: error instanceof Error ? error.message : String(error) })
      return null
    }
  }
}
