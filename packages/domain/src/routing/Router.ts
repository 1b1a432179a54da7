/** Chooses the dispatcher for a request at its entry node, from gossiped summaries. */
import { isLongPrompt, lengthClassOf } from '../dispatch/lengthClasses.js'
import type { DispatchSummary } from '../dispatch/types.js'
import type { FailureDomain, Millis, NodeId } from '../types.js'
import { OutcomeKind } from '../types.js'
import * as defaults from './constants.js'
import { RecentOrders } from './RecentOrders.js'
import { rendezvousOrder } from './rendezvous.js'
import type { DispatcherState, RoutingCriteria, RoutingRefusal, UniformRandom } from './types.js'

export interface RouterOptions {
  /** Seeded generator. Each entry node uses a different seed, so that they do not all choose the same dispatcher. */
  readonly random: UniformRandom
}

/** A dispatcher that has a runner for the model, with its estimated times. */
interface Candidate {
  readonly node: NodeId
  readonly failureDomain: FailureDomain
  /** Estimated time to first token: queue delay and prefill. */
  readonly timeToFirstToken: Millis
  /** Estimated time that the request waits before its prefill starts. */
  readonly queueDelay: Millis
  readonly prefillRate: number
}

/**
 * Compares a random sample of dispatchers and prefers the node's own failure domain. Prompts with the same prefix go to
 * the same dispatcher unless its queue is too long.
 */
export class Router {
  readonly #random: UniformRandom
  readonly #recentOrders = new RecentOrders()

  constructor (options: RouterOptions) {
    this.#random = options.random
  }

  /**
   * Chooses a dispatcher for a request and records the order as placed there.
   *
   * @param criteria - properties of the dispatch order
   * @param states - summaries of all live dispatchers
   * @param ownDomain - this node's failure domain
   * @param avoid - dispatchers that refused this request or did not answer; used only if there is no other
   * @param now - current time
   * @returns the dispatcher's node, or the reason why none was chosen
   */
  choose (criteria: RoutingCriteria, states: readonly DispatcherState[], ownDomain: FailureDomain, avoid: readonly NodeId[], now: Millis): NodeId | RoutingRefusal {
    const serving = this.#candidates(criteria, states)
    if (serving.length === 0) return { kind: OutcomeKind.NoRunner, retryAfter: 1_000, reason: `no dispatcher has a runner for ${criteria.model}` }
    const notAvoided = serving.filter((candidate) => !avoid.includes(candidate.node))
    const candidates = notAvoided.length > 0 ? notAvoided : serving
    const refusal = this.#checkFeasibility(criteria, candidates)
    if (refusal !== null) return refusal
    const chosen = this.#pick(criteria, candidates, ownDomain)
    this.#recentOrders.add(chosen.node, criteria.model, criteria.promptTokens, now)
    return chosen.node
  }

  #candidates (criteria: RoutingCriteria, states: readonly DispatcherState[]): readonly Candidate[] {
    const candidates: Candidate[] = []
    for (const state of states) {
      const summary = state.summaries.find((entry) => entry.model === criteria.model && entry.runners > 0)
      if (summary !== undefined) candidates.push(this.#candidateOf(criteria, state, summary))
    }
    return candidates
  }

  #candidateOf (criteria: RoutingCriteria, state: DispatcherState, summary: DispatchSummary): Candidate {
    const prefillRate = summary.prefillRate
    const runnerRate = prefillRate / summary.runners
    const pendingTokens = this.#recentOrders.pendingTokens(state.node, criteria.model, state.receivedAt)
    const reportedDelay = summary.queueDelay[lengthClassOf(criteria.promptTokens)] ?? 0
    const queueDelay = reportedDelay + (prefillRate > 0 ? pendingTokens * 1_000 / prefillRate : 0)
    const prefillTime = prefillRate > 0 ? criteria.promptTokens * 1_000 / runnerRate : 0
    return { node: state.node, failureDomain: state.failureDomain, queueDelay, timeToFirstToken: queueDelay + prefillTime, prefillRate }
  }

  #checkFeasibility (criteria: RoutingCriteria, candidates: readonly Candidate[]): RoutingRefusal | null {
    const shortestTime = Math.min(...candidates.map((candidate) => candidate.timeToFirstToken))
    if (shortestTime <= criteria.remaining * defaults.REFUSAL_FACTOR) return null
    const shortestQueueDelay = Math.min(...candidates.map((candidate) => candidate.queueDelay))
    const kind = shortestTime - shortestQueueDelay > criteria.remaining ? OutcomeKind.DeadlineInfeasible : OutcomeKind.Overloaded
    return { kind, retryAfter: Math.round(shortestTime - criteria.remaining), reason: `the first token would take ${Math.round(shortestTime)} ms` }
  }

  #pick (criteria: RoutingCriteria, candidates: readonly Candidate[], ownDomain: FailureDomain): Candidate {
    const localCandidates = candidates.filter((candidate) => candidate.failureDomain === ownDomain)
    const remoteCandidates = candidates.filter((candidate) => candidate.failureDomain !== ownDomain)
    const localChoice = this.#pickWithAffinity(criteria, localCandidates)
    if (localChoice !== null && localChoice.queueDelay <= defaults.SPILLOVER_QUEUE_DELAY) return localChoice
    const remoteChoice = isLongPrompt(criteria.promptTokens) ? this.#pickFastest(remoteCandidates) : this.#pickFastestOfSample(remoteCandidates)
    if (localChoice === null) return remoteChoice ?? candidates[0]!
    return remoteChoice !== null && remoteChoice.timeToFirstToken + defaults.SPILLOVER_MIN_GAIN < localChoice.timeToFirstToken ? remoteChoice : localChoice
  }

  /** Returns the dispatcher that the prefix maps to, or the fastest candidate if that dispatcher's queue delay is above the bound. */
  #pickWithAffinity (criteria: RoutingCriteria, candidates: readonly Candidate[]): Candidate | null {
    const fastest = isLongPrompt(criteria.promptTokens) ? this.#pickFastest(candidates) : this.#pickFastestOfSample(candidates)
    if (fastest === null || criteria.prefix.length === 0) return fastest
    const key = criteria.prefix[Math.min(criteria.prefix.length, defaults.AFFINITY_BLOCKS) - 1]!
    const preferredNode = rendezvousOrder(key, candidates.map((candidate) => candidate.node))[0]
    const preferredCandidate = candidates.find((candidate) => candidate.node === preferredNode)
    if (preferredCandidate === undefined) return fastest
    const meanQueueDelay = candidates.reduce((sum, candidate) => sum + candidate.queueDelay, 0) / candidates.length
    return preferredCandidate.queueDelay <= meanQueueDelay * defaults.AFFINITY_LOAD_BOUND ? preferredCandidate : fastest
  }

  /** Compares all candidates. Used for long prompts, which are rare and expensive enough to justify it. */
  #pickFastest (candidates: readonly Candidate[]): Candidate | null {
    const shortestTime = Math.min(...candidates.map((candidate) => candidate.timeToFirstToken))
    return this.#draw(candidates.filter((candidate) => candidate.timeToFirstToken <= shortestTime))
  }

  /** Compares a random sample. Times that differ by less than the precision of gossiped figures count as equal. */
  #pickFastestOfSample (candidates: readonly Candidate[]): Candidate | null {
    let remaining = candidates
    let fastest: Candidate | null = null
    for (let draw = 0; draw < defaults.SAMPLE_SIZE && remaining.length > 0; draw++) {
      const drawn = this.#draw(remaining)
      remaining = remaining.filter((candidate) => candidate !== drawn)
      if (drawn !== null && (fastest === null || drawn.timeToFirstToken + defaults.WAIT_TOLERANCE < fastest.timeToFirstToken)) fastest = drawn
    }
    return fastest
  }

  #draw (candidates: readonly Candidate[]): Candidate | null {
    return candidates[Math.floor(this.#random() * candidates.length)] ?? null
  }
}
