/** Reports the state of this node, with its assignments, to the candidates that may schedule for it. */
import type { Millis, SchedulerCandidate, SchedulerDirectory } from '@bluebellhill/domain'

import type { FleetState } from '../FleetState.js'
import type { FactExchange } from '../quarantine/FactExchange.js'
import type { Scheduler } from '../scheduling/Scheduler.js'
import { DATAGRAM_VERSION } from './datagramCodec.js'
import { encodeEvacuations } from './evacuationCodec.js'
import type { NoticeExchange } from './NoticeExchange.js'
import type { PeerTable } from './PeerTable.js'
import { encodeState } from './stateCodec.js'

/** One in so many heartbeats is an introduction, with the failure domain and processor of this node; its answer names candidates. */
const HEARTBEATS_PER_INTRODUCTION = 8

/** Number of first heartbeats that are all introductions, until the nodes that start at the same time know each other. */
const FIRST_INTRODUCTIONS = 4

export interface StateReportsOptions {
  /** This node. */
  readonly self: SchedulerCandidate
  /** Wall-clock milliseconds at which this process started. */
  readonly startedAt: number
  readonly scheduler: Scheduler
  readonly directory: SchedulerDirectory
  readonly fleetState: FleetState
  readonly clock: () => Millis
  /** Clock on which the silence of other nodes is measured. */
  readonly runningClock: () => Millis
  /** Returns the addresses of all schedulers that keep assignments of this node. */
  readonly schedulersInUse: () => ReadonlySet<string>
  /** Returns whether the platform's store does not answer this node. */
  readonly isStoreLost: () => boolean
  /** Nodes that report to this one; those of earlier builds expect its reports too. */
  readonly table: PeerTable
  readonly notices: NoticeExchange
  readonly facts: FactExchange
  /** Sends a datagram to the node at an address. */
  readonly sendDatagram: (datagram: Uint8Array, address: string) => void
}

/** Reports of the state of this node. */
export class StateReports {
  readonly #options: StateReportsOptions
  #sequence = 0
  #heartbeatCount = 0
  #isStopping = false

  /** @param options - this node, and whom it reports to */
  constructor (options: StateReportsOptions) {
    this.#options = options
  }

  /** Reports the state at the usual interval. */
  sendHeartbeat (): void {
    this.#heartbeatCount += 1
    this.send(this.#heartbeatCount <= FIRST_INTRODUCTIONS || this.#heartbeatCount % HEARTBEATS_PER_INTRODUCTION === 0)
  }

  /** From now on, reports say that this node is stopping. */
  stop (): void {
    this.#isStopping = true
  }

  /**
   * Reports the state.
   *
   * @param isIntroduction - whether it tells the failure domain and processor of this node
   */
  send (isIntroduction: boolean): void {
    const { directory, runningClock, schedulersInUse, table, facts, sendDatagram } = this.#options
    const now = runningClock()
    const contacts = directory.contacts(now)
    for (const { node } of contacts) directory.reported(node, now)
    const addresses = new Set([...contacts.map(({ address }) => address), ...schedulersInUse(), ...table.addresses()])
    if (addresses.size === 0) return
    do {
      for (const datagram of this.#encode(isIntroduction)) for (const address of addresses) sendDatagram(datagram, address)
    } while (facts.hasUnreported)
  }

  #encode (isIntroduction: boolean): Uint8Array[] {
    const { self, startedAt, scheduler, fleetState, clock, isStoreLost, notices, facts } = this.#options
    this.#sequence += 1
    return encodeState({
      node: self.node,
      startedAt,
      sequence: this.#sequence,
      configurationVersion: fleetState.configurationVersion,
      serversRevision: fleetState.serversRevision,
      stopping: this.#isStopping,
      storeLost: isStoreLost(),
      works: scheduler.assignments.own(),
      peers: [],
      failureDomain: isIntroduction ? self.failureDomain : '',
      version: DATAGRAM_VERSION,
      processor: isIntroduction ? self.processor : 0,
      notices: notices.nextReport(),
      quarantine: facts.nextReport(),
      evacuations: encodeEvacuations(fleetState.restrictions.shared())
    }, clock())
  }
}
