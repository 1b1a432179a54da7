/** Sends the state and the assignments of this node to the other nodes, and receives theirs, over UDP. */
import { createSocket } from 'node:dgram'
import type { RemoteInfo, Socket, SocketOptions } from 'node:dgram'
import { once } from 'node:events'

import { AssignmentChange } from '@bluebellhill/domain'
import type { FleetAssignments, Millis, NodeId } from '@bluebellhill/domain'

import type { FleetState } from '../FleetState.js'
import type { Log } from '../../log/index.js'
import { PeerTable } from './PeerTable.js'
import type { Peer } from './PeerTable.js'
import { decodeState, encodeState } from './stateCodec.js'

/** Interval at which the state is sent even if it has not changed. */
const HEARTBEAT_PERIOD: Millis = 600

/** A heartbeat is skipped if the state was sent within this time before it. */
const RECENT_SEND_PERIOD: Millis = 400

/** How long changes are collected and sent together: shortest if an engine is occupied, longer if one becomes free. */
const BATCH_DELAYS: Readonly<Record<AssignmentChange, Millis>> = {
  [AssignmentChange.Started]: 1,
  [AssignmentChange.StartedPlain]: 80,
  [AssignmentChange.Prefilled]: 60,
  [AssignmentChange.Ended]: 120
}

/** One in so many heartbeats is an introduction, with the peers' addresses and the failure domain; a new peer gets one at once. */
const HEARTBEATS_PER_INTRODUCTION = 16

const IP_VERSION = 4

/** Replaces the DNS lookup: hosts are IP numbers already. */
const numericOnly: SocketOptions['lookup'] = (host, _, answer) => answer(null, host, IP_VERSION)

export interface PeerLinkOptions {
  readonly node: NodeId
  readonly failureDomain: string
  readonly host: string
  /** UDP port; the other nodes use the same. */
  readonly port: number
  /** Wall-clock milliseconds at which this process started. */
  readonly startedAt: number
  readonly assignments: FleetAssignments
  readonly fleetState: FleetState
  readonly log: Log
  readonly clock: () => Millis
  /** Called when another node has a newer configuration or list of backend servers. */
  readonly onPeerAhead: () => void
  /** Returns whether the platform's store does not answer this node. */
  readonly isStoreLost: () => boolean
  /** Called when another node reports that it has lost the store. */
  readonly onPeerStoreLost: () => void
}

/** Exchanges node states with the peers over one UDP socket. */
export class PeerLink {
  readonly table = new PeerTable()
  readonly #options: PeerLinkOptions
  readonly #socket: Socket = createSocket({ type: 'udp4', lookup: numericOnly })
  #sequence = 0
  #heartbeatCount = 0
  #sendTimer: NodeJS.Timeout | null = null
  #sendDueAt: Millis = Infinity
  #lastSentAt: Millis = -Infinity
  #sentAssignmentCount = 0
  #heartbeatTimer: NodeJS.Timeout | null = null
  #isStopping = false
  #isDisposed = false
  #undeliveredCount = 0
  #malformedCount = 0

  /** @param options - this node, its assignments and fleet state, and its UDP address */
  constructor (options: PeerLinkOptions) {
    this.#options = options
    this.#socket.on('message', (datagram, remote) => this.#receive(datagram, remote))
    this.#socket.on('error', (error) => {
      this.#undeliveredCount += 1
      options.log.warn('peers.socket_error', { reason: error.message })
    })
  }

  /** Counts of datagrams that could not be sent, and of datagrams that could not be decoded. */
  get counters (): { readonly undelivered: number, readonly malformed: number } {
    return { undelivered: this.#undeliveredCount, malformed: this.#malformedCount }
  }

  /** @throws Error if the port cannot be bound */
  async start (): Promise<void> {
    const listening = once(this.#socket, 'listening')
    this.#socket.bind(this.#options.port, this.#options.host)
    await listening
    this.#heartbeatTimer = setInterval(() => this.#sendHeartbeat(), HEARTBEAT_PERIOD)
    this.#sendHeartbeat()
  }

  /**
   * Adds addresses of other nodes, to which the state is sent.
   *
   * @param addresses - `ip:port` of nodes
   */
  addAddresses (addresses: readonly string[]): void {
    const own = `${this.#options.host}:${this.#options.port}`
    this.table.addAddresses(addresses.filter((address) => address !== own), this.#options.clock())
  }

  /** Schedules a state to be sent after an assignment of this node has changed. */
  assignmentChanged (change: AssignmentChange): void {
    const now = this.#options.clock()
    const dueAt = now + BATCH_DELAYS[change]
    if (dueAt >= this.#sendDueAt) return
    if (this.#sendTimer !== null) clearTimeout(this.#sendTimer)
    this.#sendDueAt = dueAt
    this.#sendTimer = setTimeout(() => this.#sendChanges(), dueAt - now)
  }

  /** Announces to the other nodes that this node has lost the store. */
  announceStoreLost (): void {
    this.#sendState()
  }

  /** Announces to the other nodes that this node is stopping. */
  announceStopping (): void {
    this.#isStopping = true
    this.#sendState()
  }

  dispose (): void {
    if (this.#isDisposed) return
    this.#isDisposed = true
    if (this.#sendTimer !== null) clearTimeout(this.#sendTimer)
    if (this.#heartbeatTimer !== null) clearInterval(this.#heartbeatTimer)
    this.#socket.close()
  }

  #sendHeartbeat (): void {
    const now = this.#options.clock()
    for (const peer of this.table.expire(now)) {
      this.#options.assignments.removePeer(peer.node, now)
      this.#options.log.warn('peer.lost', { peer: peer.node, silent_ms: Math.round(now - peer.lastSeenAt) })
    }
    this.#heartbeatCount += 1
    const isIntroduction = this.#heartbeatCount % HEARTBEATS_PER_INTRODUCTION === 1
    if (isIntroduction || now - this.#lastSentAt > RECENT_SEND_PERIOD) this.#sendState(isIntroduction)
  }

  /** Sends the changed state, unless there was no assignment in the last state sent and there is none now. */
  #sendChanges (): void {
    this.#sendTimer = null
    this.#sendDueAt = Infinity
    if (this.#sentAssignmentCount > 0 || this.#options.assignments.own().length > 0) this.#sendState()
  }

  #sendState (isIntroduction = false): void {
    if (this.#sendTimer !== null) clearTimeout(this.#sendTimer)
    this.#sendTimer = null
    this.#sendDueAt = Infinity
    if (this.#isDisposed) return
    this.#lastSentAt = this.#options.clock()
    this.#sentAssignmentCount = this.#options.assignments.own().length
    const datagrams = this.#encodeState(isIntroduction)
    for (const address of this.table.addresses()) for (const datagram of datagrams) this.#sendDatagram(datagram, address)
  }

  #sendIntroduction (address: string): void {
    if (this.#isDisposed) return
    for (const datagram of this.#encodeState(true)) this.#sendDatagram(datagram, address)
  }

  #encodeState (isIntroduction: boolean): Uint8Array[] {
    const { node, failureDomain, startedAt, assignments, fleetState, clock, isStoreLost } = this.#options
    this.#sequence += 1
    return encodeState({
      node,
      startedAt,
      sequence: this.#sequence,
      configurationVersion: fleetState.configurationVersion,
      serversRevision: fleetState.serversRevision,
      stopping: this.#isStopping,
      storeLost: isStoreLost(),
      works: assignments.own(),
      peers: isIntroduction ? this.table.active().map(({ address }) => address) : [],
      failureDomain: isIntroduction ? failureDomain : ''
    }, clock())
  }

  #sendDatagram (datagram: Uint8Array, address: string): void {
    const [host = '', port = ''] = address.split(':')
    this.#socket.send(datagram, Number(port), host, (error) => {
      if (error !== null) this.#undeliveredCount += 1
    })
  }

  #receive (datagram: Buffer, remote: RemoteInfo): void {
    const { assignments, fleetState, clock, onPeerAhead, onPeerStoreLost, node } = this.#options
    const now = clock()
    const fragment = this.#decode(datagram, now)
    if (fragment === null || fragment.node === node) return
    const received = this.table.record(fragment, `${remote.address}:${remote.port}`, now)
    if (received === null) return
    assignments.setPeerAssignments(received.peer.node, received.assignments, now)
    this.addAddresses(fragment.peers)
    if (received.isNew) this.#peerFound(received.peer)
    const isAhead = received.peer.configurationVersion > fleetState.configurationVersion || received.peer.serversRevision > fleetState.serversRevision
    if (isAhead) onPeerAhead()
    if (received.hasLostStore) onPeerStoreLost()
  }

  #peerFound ({ node, address, startedAt }: Peer): void {
    this.#options.log.info('peer.found', { peer: node, address, started_at: startedAt })
    this.#sendIntroduction(address)
  }

  #decode (datagram: Buffer, now: Millis): ReturnType<typeof decodeState> | null {
    try {
      return decodeState(datagram, now)
    } catch (error) {
      this.#malformedCount += 1
      this.#options.log.warn('peers.datagram_malformed', { reason: error instanceof Error ? error.message : String(error) })
      return null
    }
  }
}
