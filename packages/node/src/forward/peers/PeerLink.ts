/**
 * Exchanges states with other nodes: this node reports its assignments to the candidates that may schedule for it, answers the
 * reports of the nodes for which it is a candidate, and announces the load of its group to the schedulers of the others.
 */
import { eraOf, groupOf } from '@bluebellhill/domain'
import type { CandidateState, FailureDomain, Millis, NodeId, SchedulerCandidate, SchedulerDirectory, ServerNotice } from '@bluebellhill/domain'
import type { fleetWire } from '@bluebellhill/protocol'
import { isSocketAddress } from '@bluebellhill/services'

import type { AnnouncedVersion, FleetState } from '../FleetState.js'
import type { Log } from '../../log/index.js'
import { FactExchange } from '../quarantine/FactExchange.js'
import type { Scheduler } from '../scheduling/Scheduler.js'
import { Announcements } from './Announcements.js'
import { decodeCandidate, decodeCandidateState, decodeDatagram, decodeGroupLoad, encodeDatagram, isSchedulerDatagram } from './datagramCodec.js'
import type { DatagramContent, ReceivedDatagram } from './datagramCodec.js'
import { decodeEvacuations } from './evacuationCodec.js'
import { NoticeExchange } from './NoticeExchange.js'
import { PeerSocket } from './PeerSocket.js'
import { PeerTable } from './PeerTable.js'
import type { Peer } from './PeerTable.js'
import { decodeState } from './stateCodec.js'
import type { NodeStateFragment } from './stateCodec.js'
import { StateReports } from './StateReports.js'

/** Interval at which the state is reported. */
const HEARTBEAT_PERIOD: Millis = 600

/** How long changes are collected before they are announced. */
const ANNOUNCEMENT_DELAY: Millis = 20

/** Number of nodes of each other group that get the load of this group. */
const LOAD_RECEIVERS = 2

/** A node from which a newer fleet state can be fetched. */
export interface FleetStateSource {
  readonly node: NodeId
  readonly address: string
  readonly failureDomain: string
  readonly configurationVersion: number
  readonly serversRevision: number
}

export interface PeerLinkOptions {
  /** This node; its address is the one at which it receives datagrams. */
  readonly self: SchedulerCandidate
  /** Wall-clock milliseconds at which this process started. */
  readonly startedAt: number
  readonly scheduler: Scheduler
  readonly directory: SchedulerDirectory
  readonly fleetState: FleetState
  readonly log: Log
  readonly clock: () => Millis
  /** Clock on which the silence of other nodes is measured. */
  readonly runningClock: () => Millis
  /** Returns the addresses of all schedulers that keep assignments of this node. */
  readonly schedulersInUse: () => ReadonlySet<string>
  /** Called when another node has a newer configuration or list of backend servers. */
  readonly onPeerAhead: () => void
  /** Returns whether the platform's store does not answer this node. */
  readonly isStoreLost: () => boolean
  /** Called when another node reports that it has lost the store. */
  readonly onPeerStoreLost: () => void
  /** Called when a candidate has announced its state. */
  readonly onCandidateHeard?: () => void
  /** Called with every message about the placement of attempts. */
  readonly onPlacementMessage: (message: ReceivedDatagram, address: string) => void
}

/** What the messages of all nodes contain besides their own state. */
interface ReportedFacts {
  readonly notices: readonly fleetWire.ServerNotice[]
  readonly quarantine: fleetWire.QuarantineFacts | undefined
  readonly evacuations?: fleetWire.Evacuations | undefined
}

/** Exchanges node states with the peers over one UDP socket. */
export class PeerLink {
  /** Nodes that report their assignments to this one. */
  readonly table = new PeerTable()
  readonly #options: PeerLinkOptions
  readonly #socket: PeerSocket
  readonly #announcements: Announcements
  readonly #notices: NoticeExchange
  readonly #facts: FactExchange
  readonly #reports: StateReports
  #heartbeatTimer: NodeJS.Timeout | null = null
  #reportTimer: NodeJS.Timeout | null = null
  #announcementTimer: NodeJS.Timeout | null = null
  /** Whether the other groups have yet to be told of a change of the evacuations. */
  #hasEvacuationsForGroups = false
  #isDisposed = false
  #malformedCount = 0

  /** @param options - this node, its scheduler and fleet state */
  constructor (options: PeerLinkOptions) {
    this.#options = options
    this.#notices = new NoticeExchange({ ...options, node: options.self.node, statements: options.scheduler.statements })
    this.#facts = new FactExchange({ quarantine: options.scheduler.quarantine, clock: options.clock, onOwnFact: () => this.#factFound() })
    this.#announcements = new Announcements({ ...options, notices: this.#notices, facts: this.#facts })
    this.#socket = new PeerSocket(options.log, (datagram, address) => this.#receive(datagram, address))
    this.#reports = new StateReports({
      ...options,
      table: this.table,
      notices: this.#notices,
      facts: this.#facts,
      sendDatagram: (datagram, address) => this.#socket.send(datagram, address)
    })
    options.fleetState.onChange(() => this.#announceSoon())
    options.fleetState.restrictions.onChange(() => {
      this.#hasEvacuationsForGroups = true
      this.reportSoon()
    })
  }

  /** Counts of datagrams that could not be sent, and of datagrams that could not be decoded. */
  get counters (): { readonly undelivered: number, readonly malformed: number } {
    return { undelivered: this.#socket.undeliveredCount, malformed: this.#malformedCount }
  }

  /** @throws Error if the port cannot be bound */
  async start (): Promise<void> {
    const [host = '', port = ''] = this.#options.self.address.split(':')
    await this.#socket.start(host, Number(port))
    this.#heartbeatTimer = setInterval(() => this.#sendHeartbeat(), HEARTBEAT_PERIOD)
    this.#sendHeartbeat()
  }

  /**
   * Adds nodes that the store lists, and reports to the candidates among them at once.
   *
   * @param candidates - nodes with their failure domain and processor
   * @param addresses - `ip:port` of nodes of earlier builds, which list nothing else
   */
  addNodes (candidates: readonly SchedulerCandidate[], addresses: readonly string[]): void {
    const { directory, self, runningClock } = this.#options
    const added = candidates.filter((candidate) => isSocketAddress(candidate.address) && directory.add(candidate, runningClock()))
    this.table.addAddresses(addresses.filter((address) => isSocketAddress(address) && address !== self.address), runningClock())
    if (added.length > 0) this.reportSoon()
  }

  /** @returns the nodes that were heard lately, with the versions of their fleet state */
  sources (): FleetStateSource[] {
    const candidates = this.#options.directory.live(this.#options.runningClock()).flatMap(({ node, address, failureDomain, state }) =>
      state === null ? [] : [{ node, address, failureDomain, configurationVersion: state.configurationVersion, serversRevision: state.serversRevision }])
    return [...candidates, ...this.table.active()]
  }

  /** Reports the state soon, because the candidates do not know an assignment of this node yet. */
  reportSoon (): void {
    this.#reportTimer ??= setTimeout(() => {
      this.#reportTimer = null
      this.#sendState(true)
    }, 1)
  }

  /**
   * Tells the other nodes soon what a backend server has stated to this one.
   *
   * @param notice - the statement
   */
  noticeHeard ({ server }: ServerNotice): void {
    this.#notices.heard(server)
    this.reportSoon()
    this.#announceSoon()
  }

  #factFound (): void {
    this.reportSoon()
    this.#announceSoon()
  }

  /** Announces to the nodes that report to this one that it has lost the store. */
  announceStoreLost (): void {
    this.#announce()
  }

  /** Announces that this node is stopping, so that others schedule in its place. */
  announceStopping (): void {
    this.#reports.stop()
    this.#announcements.stop()
    this.#announce()
    this.#sendState(false)
  }

  /**
   * Sends a message to one node.
   *
   * @param address - its `ip:port`
   * @param content - the message
   */
  send (address: string, content: DatagramContent): void {
    this.#socket.send(encodeDatagram(this.#options.self.node, this.#options.startedAt, content), address)
  }

  dispose (): void {
    if (this.#isDisposed) return
    this.#isDisposed = true
    if (this.#heartbeatTimer !== null) clearInterval(this.#heartbeatTimer)
    if (this.#reportTimer !== null) clearTimeout(this.#reportTimer)
    if (this.#announcementTimer !== null) clearTimeout(this.#announcementTimer)
    this.#socket.dispose()
  }

  #sendHeartbeat (): void {
    const { scheduler, log, clock } = this.#options
    const now = this.#options.runningClock()
    for (const peer of this.table.expire(now)) {
      scheduler.assignments.removePeer(peer.node, clock())
      log.warn('peer.lost', { peer: peer.node, silent_ms: Math.round(now - peer.lastSeenAt) })
    }
    this.#updateGroup()
    this.#reports.sendHeartbeat()
    if (this.#isGroupScheduler(now)) this.#announceLoad()
  }

  get #ownEra (): number {
    return eraOf(this.#options.fleetState.serversRevision)
  }

  #updateGroup (): void {
    const { fleetState, directory, self, log } = this.#options
    const engineServices = new Set(fleetState.routeTable?.deployment.services.filter(({ engine }) => engine !== null).map(({ name }) => name))
    const engines = fleetState.servers.all().filter(({ service }) => engineServices.has(service))
    if (engines.length === 0) return
    const group = groupOf(engines, self.failureDomain)
    if (group.domain === directory.group.domain) return
    directory.setGroup(group)
    log.info('scheduler.group', { group: group.domain ?? 'whole fleet', engines: engines.length })
  }

  /** A node to which no other one reports knows too little of the load of its group to announce it. */
  #isGroupScheduler (now: Millis): boolean {
    const { directory, self } = this.#options
    return directory.scheduler(now).node === self.node && this.table.active().length > 0
  }

  #sendState (isIntroduction: boolean): void {
    if (!this.#isDisposed) this.#reports.send(isIntroduction)
  }

  #receive (bytes: Buffer, address: string): void {
    try {
      if (isSchedulerDatagram(bytes)) this.#receiveMessage(decodeDatagram(bytes), address)
      else this.#receiveState(decodeState(bytes, this.#options.clock(), this.#ownEra), address)
    } catch (error) {
      this.#malformedCount += 1
      this.#options.log.warn('peers.datagram_malformed', { from: address, reason: error instanceof Error ? error.message : String(error) })
    }
  }

  #receiveMessage (message: ReceivedDatagram, address: string): void {
    const { content, node } = message
    if (content.$case === 'candidateReport') {
      this.addNodes(content.value.candidates.map(decodeCandidate), [])
      this.#recordStatements(content.value, false)
      this.#candidateHeard(node, decodeCandidateState(content.value, this.#ownEra))
    } else if (content.$case === 'groupReport') {
      this.#options.scheduler.recordGroupLoad(decodeGroupLoad(content.value, address))
      const { sender } = content.value
      if (sender === undefined) return
      this.#recordStatements(sender, false)
      this.#candidateHeard(node, decodeCandidateState(sender, this.#ownEra))
    } else {
      this.#options.onPlacementMessage(message, address)
    }
  }

  #candidateHeard (node: NodeId, state: CandidateState): void {
    const { directory, onPeerStoreLost } = this.#options
    const previous = directory.heard(node, state, this.#options.runningClock())
    this.#options.onCandidateHeard?.()
    this.#compareVersions(state)
    if (state.hasLostStore && previous?.hasLostStore === false) onPeerStoreLost()
  }

  #compareVersions (version: AnnouncedVersion): void {
    const { fleetState, onPeerAhead } = this.#options
    if (fleetState.isBehind(version)) onPeerAhead()
  }

  #receiveState (fragment: NodeStateFragment, address: string): void {
    const { scheduler, directory, clock, onPeerStoreLost, self } = this.#options
    if (fragment.node === self.node) return
    const heardAt = this.#options.runningClock()
    this.#recordStatements(fragment, true)
    const received = this.table.record(fragment, address, heardAt)
    if (received === null) return
    scheduler.assignments.setPeerAssignments(received.peer.node, received.assignments, clock(), heardAt)
    this.table.addAddresses(fragment.peers.filter((peer) => isSocketAddress(peer) && peer !== self.address), heardAt)
    if (received.isNew) this.#peerFound(received.peer)
    if (fragment.version > 0) this.#answerState(fragment, address)
    if (fragment.version > 0 && fragment.failureDomain !== '') directory.add({ node: fragment.node, address, failureDomain: fragment.failureDomain as FailureDomain, processor: fragment.processor }, heardAt)
    directory.reportReceived(fragment.node, heardAt)
    this.#compareVersions(received.peer)
    if (received.hasLostStore) onPeerStoreLost()
  }

  #recordStatements ({ notices, quarantine, evacuations }: ReportedFacts, isReport: boolean): void {
    this.#recordEvacuations(evacuations, isReport)
    const hasNewNotices = this.#notices.received(notices)
    const hasNewFacts = this.#facts.received(quarantine)
    if (hasNewNotices || hasNewFacts) this.#announceSoon()
  }

  /** A node that has outdated evacuations is told at once: one that reports to this node by an announcement, a candidate by a report. */
  #recordEvacuations (evacuations: fleetWire.Evacuations | undefined, isReport: boolean): void {
    const state = decodeEvacuations(evacuations)
    if (state === null || !this.#options.fleetState.restrictions.reported(state)) return
    if (isReport) this.#announceSoon()
    else this.reportSoon()
  }

  #peerFound ({ node, address, startedAt, version }: Peer): void {
    this.#options.log.info('peer.found', { peer: node, address, started_at: startedAt })
    if (version > 0) for (const content of this.#announcements.introduction()) this.send(address, content)
  }

  #answerState ({ failureDomain }: NodeStateFragment, address: string): void {
    this.send(address, this.#announcements.answer(failureDomain !== ''))
  }

  #announceSoon (): void {
    if (this.#isDisposed) return
    this.#announcementTimer ??= setTimeout(() => {
      this.#announcementTimer = null
      this.#announce()
    }, ANNOUNCEMENT_DELAY)
  }

  /** Sends the state of this candidate to every node that reports to it. */
  #announce (): void {
    do {
      const content = this.#announcements.announcement()
      for (const { address, version } of this.table.active()) if (version > 0) this.send(address, content)
    } while (this.#notices.hasUnannounced || this.#facts.hasUnannounced)
    const hasNewForGroups = this.#facts.hasNewForGroups || this.#hasEvacuationsForGroups
    if (hasNewForGroups && this.#isGroupScheduler(this.#options.runningClock())) this.#announceLoad()
    this.#hasEvacuationsForGroups = false
  }

  /** Sends the load of this group to the schedulers of the others. */
  #announceLoad (): void {
    const receivers = this.#options.directory.otherGroups(LOAD_RECEIVERS)
    if (receivers.length === 0) return
    do {
      const content = this.#announcements.groupReport()
      for (const { address } of receivers) this.send(address, content)
    } while (this.#facts.hasNewForGroups)
  }
}
