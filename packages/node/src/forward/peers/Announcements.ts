/** Builds the messages in which a candidate announces itself to the nodes of its group, and the load of the group to the others. */
import type { Millis, SchedulerCandidate, SchedulerDirectory } from '@bluebellhill/domain'
import type { fleetWire } from '@bluebellhill/protocol'

import type { FleetState } from '../FleetState.js'
import type { FactExchange } from '../quarantine/FactExchange.js'
import type { Scheduler } from '../scheduling/Scheduler.js'
import { encodeCandidate } from './datagramCodec.js'
import type { DatagramContent } from './datagramCodec.js'
import { encodeEvacuations } from './evacuationCodec.js'
import type { NoticeExchange } from './NoticeExchange.js'
import { encodeRevision } from './revisionCodec.js'
import { encodeConfigurationVersion, toUint32, toUint64 } from './wireNumbers.js'

/** Number of candidates that an answer to an introduction names. */
const NAMED_CANDIDATES = 4

export interface AnnouncementsOptions {
  readonly self: SchedulerCandidate
  readonly scheduler: Scheduler
  readonly directory: SchedulerDirectory
  readonly fleetState: FleetState
  readonly notices: NoticeExchange
  readonly facts: FactExchange
  readonly clock: () => Millis
  /** Returns whether the platform's store does not answer this node. */
  readonly isStoreLost: () => boolean
}

/** Messages of one candidate about itself and its group. */
export class Announcements {
  readonly #options: AnnouncementsOptions
  readonly #startedAt: Millis
  #isStopping = false

  /** @param options - this node, its scheduler and fleet state */
  constructor (options: AnnouncementsOptions) {
    this.#options = options
    this.#startedAt = options.clock()
  }

  /** Marks this node as stopping in all further messages. */
  stop (): void {
    this.#isStopping = true
  }

  /** @returns the state of this candidate, for all nodes that report to it */
  announcement (): DatagramContent {
    return { $case: 'candidateReport', value: this.#ownState(false, this.#options.facts.nextAnnouncement()) }
  }

  /**
   * @param namesCandidates - whether the receiver gets to know the highest ranked candidates
   * @returns the state of this candidate, for one node that has reported to it
   */
  answer (namesCandidates: boolean): DatagramContent {
    return { $case: 'candidateReport', value: this.#ownState(namesCandidates, this.#options.facts.nextAnswer()) }
  }

  /** @returns messages with all that is known of what crashes backend servers, for a node that has just been found */
  introduction (): DatagramContent[] {
    return this.#options.facts.everything().map((facts) => ({ $case: 'candidateReport', value: this.#ownState(false, facts) }))
  }

  /** @returns the load of this group's engines, with the state of this candidate */
  groupReport (): DatagramContent {
    const { scheduler, self } = this.#options
    const services = scheduler.serviceLoads().map(({ service, slots, requests, meanPendingPrefill }) =>
      ({ service, slots: toUint32(slots), requests: toUint32(requests), meanPendingMs: toUint32(meanPendingPrefill) }))
    return { $case: 'groupReport', value: { failureDomain: self.failureDomain, services, sender: this.#ownState(false, this.#options.facts.nextGroupReport()) } }
  }

  #ownState (namesCandidates: boolean, quarantine: fleetWire.QuarantineFacts): fleetWire.CandidateReport {
    const { fleetState, directory, notices, isStoreLost, clock } = this.#options
    return {
      uptimeMs: toUint64(clock() - this.#startedAt),
      configurationVersion: encodeConfigurationVersion(fleetState.configurationVersion),
      ...encodeRevision(fleetState.serversRevision),
      storeLost: isStoreLost(),
      stopping: this.#isStopping,
      candidates: namesCandidates ? directory.ranked(NAMED_CANDIDATES).map(encodeCandidate) : [],
      notices: notices.nextAnnouncement(),
      quarantine,
      evacuations: encodeEvacuations(fleetState.restrictions.shared())
    }
  }
}
