/** Tracks the nodes that may schedule for this node, and selects the one that does. */
import type { FailureDomain, Millis, NodeId } from '../types.js'
import { isInGroup } from './schedulerGroups.js'
import type { SchedulerGroup } from './schedulerGroups.js'
import { rankSchedulers } from './schedulerRanking.js'
import type { SchedulerCandidate } from './schedulerRanking.js'

/** Number of candidates that receive the reports of a node: the scheduler and two that can replace it. */
export const CONTACT_COUNT = 3

/** Number of candidates of a group that watch the store; they announce its changes to the others. */
export const STORE_WATCHERS = 2

/** Time without a message after which a candidate is no longer preferred. */
export const CANDIDATE_SILENCE: Millis = 1_500

/**
 * Time without a message of a higher ranked candidate after which it certainly takes the nodes of this side of a cut for silent too: its last report may
 * have arrived a report period later than that of this node.
 */
const SUCCESSION_SILENCE: Millis = CANDIDATE_SILENCE + 1_000

/** Time after its start in which a node waits for the answers of the candidates before it watches the store in their place. */
export const START_GRACE: Millis = 400

/**
 * Time for which a report to a store watcher may stay unanswered before the next candidate watches as well. A lost report is
 * followed by the next one sooner; a change of the store has to reach all nodes within two seconds after the watchers have ended.
 */
export const WATCHER_SILENCE: Millis = 800

/**
 * Time after its start, or after a silence, in which a candidate is passed over: it has not received the reports of all nodes
 * yet, and after a partition it still avoids the servers that it could not reach.
 */
export const WARM_UP: Millis = 1_200

/** Interval at which a silent candidate gets a report, so that its return is noticed. */
export const PROBE_PERIOD: Millis = 3_000

/** Time after which a node that is not heard is taken for ended, and no longer for one behind a cut: regions may be cut off from each other for an hour. */
const LONGEST_CUT: Millis = 3_900_000

/** State that a candidate announces. */
export interface CandidateState {
  /** Time since its process started. */
  readonly uptime: Millis
  readonly isStopping: boolean
  readonly hasLostStore: boolean
  readonly configurationVersion: number
  readonly serversRevision: number
}

/** A candidate with its last state. */
export interface KnownCandidate extends SchedulerCandidate {
  readonly state: CandidateState | null
}

interface DirectoryEntry {
  candidate: SchedulerCandidate
  state: CandidateState | null
  heardAt: Millis
  /** Time since which it has been heard without a longer silence. */
  heardSince: Millis
  /** Whether it has left a query unanswered since it was last heard. */
  isSuspected: boolean
  /** Time of the oldest report that it has not answered; null if there is none. */
  unansweredSince: Millis | null
  lastReportAt: Millis
  /** Time at which this node last received a report of it. */
  reportReceivedAt: Millis
  /** Time at which it became known. */
  readonly addedAt: Millis
}

/** Candidates of all groups, ranked; this node is one of them. */
export class SchedulerDirectory {
  readonly #self: SchedulerCandidate
  readonly #startedAt: Millis
  readonly #entries = new Map<NodeId, DirectoryEntry>()
  #group: SchedulerGroup = { domain: null }
  #ranking: readonly SchedulerCandidate[] = []

  /**
   * @param self - this node
   * @param startedAt - time at which its process started
   */
  constructor (self: SchedulerCandidate, startedAt: Millis) {
    this.#self = self
    this.#startedAt = startedAt
    this.#rank()
  }

  /** Number of known nodes, this one included. */
  get size (): number {
    return this.#entries.size + 1
  }

  /** Group of this node. */
  get group (): SchedulerGroup {
    return this.#group
  }

  /** @param group - group of this node from now on */
  setGroup (group: SchedulerGroup): void {
    if (group.domain === this.#group.domain) return
    this.#group = group
    this.#rank()
  }

  /**
   * Adds a node, or updates its address.
   *
   * @param candidate - the node
   * @param now - current time
   * @returns whether it was unknown or has changed
   */
  add (candidate: SchedulerCandidate, now: Millis = this.#startedAt): boolean {
    if (candidate.node === this.#self.node) return false
    const existing = this.#entries.get(candidate.node)
    if (existing !== undefined && isSame(existing.candidate, candidate)) return false
    this.#entries.set(candidate.node, { candidate, state: null, heardAt: -Infinity, heardSince: Infinity, isSuspected: false, unansweredSince: null, lastReportAt: -Infinity, reportReceivedAt: -Infinity, addedAt: now })
    this.#rank()
    return true
  }

  /**
   * Records a message of a node.
   *
   * @param node - the sender
   * @param state - state that it announced; null if the message contains none
   * @param now - current time
   * @returns its state before; null if it was not heard for some time
   */
  heard (node: NodeId, state: CandidateState | null, now: Millis): CandidateState | null {
    const entry = this.#entries.get(node)
    if (entry === undefined) return null
    const previous = this.#isHeard(entry, now) ? entry.state : null
    if (now - entry.heardAt > CANDIDATE_SILENCE) entry.heardSince = now
    entry.heardAt = now
    entry.isSuspected = false
    entry.unansweredSince = null
    entry.state = state ?? entry.state
    return previous
  }

  /**
   * Records that a node reports to this one.
   *
   * @param node - the sender
   * @param now - current time
   */
  reportReceived (node: NodeId, now: Millis): void {
    const entry = this.#entries.get(node)
    if (entry !== undefined) entry.reportReceivedAt = now
  }

  /**
   * Records that a report was sent to a node.
   *
   * @param node - the receiver
   * @param now - current time
   */
  reported (node: NodeId, now: Millis): void {
    const entry = this.#entries.get(node)
    if (entry === undefined) return
    entry.lastReportAt = now
    entry.unansweredSince ??= now
  }

  /**
   * Records that a node has not answered a query in time: it is passed over until it is heard again.
   *
   * @param node - the node
   */
  unanswered (node: NodeId): void {
    const entry = this.#entries.get(node)
    if (entry !== undefined) entry.isSuspected = true
  }

  /**
   * @param now - current time
   * @returns the node that schedules for this one; this node itself if no preferred candidate is heard
   */
  scheduler (now: Millis): SchedulerCandidate {
    const live = this.#ranking.filter((candidate) => this.#isLive(candidate, now))
    return live.find((candidate) => this.#isWarm(candidate, now)) ?? live[0] ?? this.#self
  }

  /**
   * @param now - current time
   * @returns the candidates that receive the reports of this node: the highest ranked that are not silent, those that should
   *   watch the store, and silent ones at times
   */
  contacts (now: Millis): SchedulerCandidate[] {
    const others = this.#ranking.filter(({ node }) => node !== this.#self.node)
    const watchers = this.#storeWatchers(now)
    const answering = others.filter(({ node }) => !this.#isSilent(node, now)).filter((candidate, rank) => rank < CONTACT_COUNT || watchers.includes(candidate))
    const lastRank = answering.length === 0 ? others.length : others.indexOf(answering[answering.length - 1] as SchedulerCandidate)
    const probed = others.slice(0, lastRank).filter(({ node }) => this.#isSilent(node, now) && this.#isProbeDue(node, now))
    return [...answering, ...probed.slice(0, CONTACT_COUNT)]
  }

  /** @returns the candidates that were heard lately, with their states */
  live (now: Millis): KnownCandidate[] {
    return [...this.#entries.values()].filter((entry) => this.#isHeard(entry, now)).map(({ candidate, state }) => ({ ...candidate, state }))
  }

  /** @returns all other nodes that are known, heard or not */
  others (): SchedulerCandidate[] {
    return [...this.#entries.values()].map(({ candidate }) => candidate)
  }

  /**
   * @param now - current time
   * @returns whether a higher ranked candidate was heard lately, which may schedule for nodes that reach it, also if it does not answer this one
   */
  hearsHigherRanked (now: Millis): boolean {
    const rank = this.#ranking.findIndex(({ node }) => node === this.#self.node)
    return this.#ranking.slice(0, rank).some(({ node }) => {
      const entry = this.#entries.get(node)
      return entry !== undefined && now - entry.heardAt <= SUCCESSION_SILENCE && entry.state?.isStopping !== true
    })
  }

  /**
   * @param now - current time
   * @returns part of the nodes of this node's group that it hears, itself included; after a cut the parts of all sides add up to 1
   */
  heardShare (now: Millis): number {
    const others = [...this.#entries.values()].filter(({ candidate }) => isInGroup(this.#group, candidate.failureDomain))
    const heardAgo = others.map(({ heardAt, reportReceivedAt }) => now - Math.max(heardAt, reportReceivedAt))
    const heard = heardAgo.filter((ago) => ago <= CANDIDATE_SILENCE).length
    const known = others.filter(({ addedAt }, index) => Math.min(heardAgo[index] ?? Infinity, now - addedAt) <= LONGEST_CUT).length
    return (1 + heard) / (1 + known)
  }

  /** @returns the highest ranked candidates of this node's group, this node included */
  ranked (count: number): readonly SchedulerCandidate[] {
    return this.#ranking.slice(0, count)
  }

  /**
   * @param count - number of nodes of each group
   * @returns the highest ranked nodes of the other groups
   */
  otherGroups (count: number): SchedulerCandidate[] {
    if (this.#group.domain === null) return []
    const domains = new Map<FailureDomain, SchedulerCandidate[]>()
    for (const { candidate } of this.#entries.values()) {
      if (!isInGroup(this.#group, candidate.failureDomain)) domains.set(candidate.failureDomain, [...domains.get(candidate.failureDomain) ?? [], candidate])
    }
    return [...domains.values()].flatMap((candidates) => rankSchedulers(candidates).slice(0, count))
  }

  /**
   * The highest ranked nodes of each group that have not lost the store watch it, and any other node relies on them, unless it
   * hears none.
   *
   * @param now - current time
   * @returns whether this node watches the store
   */
  isStoreWatcher (now: Millis): boolean {
    const isFirst = this.#storeWatchers(now).some(({ node }) => node === this.#self.node)
    if (isFirst && (this.size > 1 || this.#isStarted(now))) return true
    const isHeard = this.live(now).some(({ failureDomain }) => isInGroup(this.#group, failureDomain))
    return !isHeard && this.#isStarted(now)
  }

  #storeWatchers (now: Millis): SchedulerCandidate[] {
    const presumed = this.#ranking.filter(({ node }) => node === this.#self.node || (!this.#isSilent(node, now, WATCHER_SILENCE) && !this.#hasLostStore(node)))
    return presumed.slice(0, STORE_WATCHERS)
  }

  /** A node that has lost the store and is not heard any more has not regained it, as far as this node knows. */
  #hasLostStore (node: NodeId): boolean {
    return this.#entries.get(node)?.state?.hasLostStore === true
  }

  #isStarted (now: Millis): boolean {
    return now - this.#startedAt >= START_GRACE
  }

  #rank (): void {
    const candidates = [this.#self, ...[...this.#entries.values()].map(({ candidate }) => candidate)]
    this.#ranking = rankSchedulers(candidates.filter(({ failureDomain }) => isInGroup(this.#group, failureDomain)))
  }

  #isLive ({ node }: SchedulerCandidate, now: Millis): boolean {
    if (node === this.#self.node) return true
    const entry = this.#entries.get(node)
    return entry !== undefined && this.#isHeard(entry, now) && entry.state?.isStopping === false
  }

  #isHeard ({ heardAt, isSuspected }: DirectoryEntry, now: Millis): boolean {
    return !isSuspected && now - heardAt <= CANDIDATE_SILENCE
  }

  #isWarm ({ node }: SchedulerCandidate, now: Millis): boolean {
    if (node === this.#self.node) return now - this.#startedAt >= WARM_UP
    const entry = this.#entries.get(node)
    return entry?.state != null && now - entry.heardSince >= WARM_UP && entry.state.uptime + now - entry.heardAt >= WARM_UP
  }

  #isSilent (node: NodeId, now: Millis, limit: Millis = CANDIDATE_SILENCE): boolean {
    const entry = this.#entries.get(node)
    if (entry === undefined) return true
    if (entry.state?.isStopping === true) return true
    return entry.unansweredSince !== null && now - entry.unansweredSince > limit
  }

  #isProbeDue (node: NodeId, now: Millis): boolean {
    return now - (this.#entries.get(node)?.lastReportAt ?? now) >= PROBE_PERIOD
  }
}

const isSame = (a: SchedulerCandidate, b: SchedulerCandidate): boolean =>
  a.address === b.address && a.failureDomain === b.failureDomain && a.processor === b.processor
