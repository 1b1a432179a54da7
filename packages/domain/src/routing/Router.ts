/** Choice of a dispatcher at the entry node, from gossiped summaries. */
import { isLongPrompt, lengthClassOf } from '../dispatch/lengthClasses.js'
import type { DispatchSummary } from '../dispatch/types.js'
import type { FailureDomain, Millis, NodeId } from '../types.js'
import { OutcomeKind } from '../types.js'
import * as defaults from './constants.js'
import { OwnOrders } from './OwnOrders.js'
import { rendezvousOrder } from './rendezvous.js'
import type { DispatcherState, OrderFacts, RoutingRefusal, UniformRandom } from './types.js'

/** Settings of a router. */
export interface RouterOptions {
  /** Seeded generator; entry nodes use different seeds, so that they do not all choose alike. */
  readonly random: UniformRandom
}

interface Candidate {
  readonly node: NodeId
  readonly failureDomain: FailureDomain
  /** Estimated time to the first token. */
  readonly wait: Millis
  /** Estimated wait before the order starts. */
  readonly queue: Millis
  readonly rate: number
}

/** Compares a few dispatchers picked at random, own failure domain first, and keeps prefixes together while loads allow. */
export class Router {
  readonly #random: UniformRandom
  readonly #own = new OwnOrders()

  constructor (options: RouterOptions) {
    this.#random = options.random
  }

  /**
   * Chooses where an order goes and counts it there.
   *
   * @param facts - what decides
   * @param states - summaries of all live dispatchers
   * @param own - this node's failure domain
   * @param avoid - dispatchers that refused or lost this request already
   * @param now - time
   * @returns the dispatcher's node, or why none was chosen
   */
  choose (facts: OrderFacts, states: readonly DispatcherState[], own: FailureDomain, avoid: readonly NodeId[], now: Millis): NodeId | RoutingRefusal {
    const serving = this.#candidates(facts, states)
    if (serving.length === 0) return { kind: OutcomeKind.NoRunner, retryAfter: 1_000, reason: `no dispatcher has a runner for ${facts.model}` }
    const open = serving.filter((candidate) => !avoid.includes(candidate.node))
    const candidates = open.length > 0 ? open : serving
    const refusal = this.#infeasible(facts, candidates)
    if (refusal !== null) return refusal
    const chosen = this.#pick(facts, candidates, own)
    this.#own.add(chosen.node, facts.model, facts.promptTokens, now)
    return chosen.node
  }

  #candidates (facts: OrderFacts, states: readonly DispatcherState[]): readonly Candidate[] {
    const candidates: Candidate[] = []
    for (const state of states) {
      const summary = state.summaries.find((entry) => entry.model === facts.model && entry.runners > 0)
      if (summary !== undefined) candidates.push(this.#candidate(facts, state, summary))
    }
    return candidates
  }

  #candidate (facts: OrderFacts, state: DispatcherState, summary: DispatchSummary): Candidate {
    const rate = summary.prefillRate
    const runnerRate = rate / summary.runners
    const since = this.#own.pending(state.node, facts.model, state.receivedAt)
    const reported = summary.queueDelay[lengthClassOf(facts.promptTokens)] ?? 0
    const queue = reported + (rate > 0 ? since * 1_000 / rate : 0)
    const prefill = rate > 0 ? facts.promptTokens * 1_000 / runnerRate : 0
    return { node: state.node, failureDomain: state.failureDomain, queue, wait: queue + prefill, rate }
  }

  #infeasible (facts: OrderFacts, candidates: readonly Candidate[]): RoutingRefusal | null {
    const least = Math.min(...candidates.map((candidate) => candidate.wait))
    if (least <= facts.remaining * defaults.REFUSAL_MARGIN) return null
    const queue = Math.min(...candidates.map((candidate) => candidate.queue))
    const kind = least - queue > facts.remaining ? OutcomeKind.DeadlineInfeasible : OutcomeKind.Overloaded
    return { kind, retryAfter: Math.round(least - facts.remaining), reason: `the first token would take ${Math.round(least)} ms` }
  }

  #pick (facts: OrderFacts, candidates: readonly Candidate[], own: FailureDomain): Candidate {
    const near = candidates.filter((candidate) => candidate.failureDomain === own)
    const far = candidates.filter((candidate) => candidate.failureDomain !== own)
    const nearest = this.#among(facts, near)
    if (nearest !== null && nearest.queue <= defaults.SPILL_WAIT) return nearest
    const farthest = isLongPrompt(facts.promptTokens) ? this.#best(far) : this.#better(far)
    if (nearest === null) return farthest ?? candidates[0]!
    return farthest !== null && farthest.wait + defaults.SPILL_GAIN < nearest.wait ? farthest : nearest
  }

  /** The dispatcher that keeps the prefix, unless it is loaded above the bound; else the best of a few. */
  #among (facts: OrderFacts, candidates: readonly Candidate[]): Candidate | null {
    const better = isLongPrompt(facts.promptTokens) ? this.#best(candidates) : this.#better(candidates)
    if (better === null || facts.prefix.length === 0) return better
    const key = facts.prefix[Math.min(facts.prefix.length, defaults.AFFINITY_BLOCKS) - 1]!
    const preferred = rendezvousOrder(key, candidates.map((candidate) => candidate.node))[0]
    const home = candidates.find((candidate) => candidate.node === preferred)
    if (home === undefined) return better
    const mean = candidates.reduce((sum, candidate) => sum + candidate.queue, 0) / candidates.length
    return home.queue <= mean * defaults.AFFINITY_BOUND ? home : better
  }

  /** The best of all: a long prompt is rare and dear enough to compare every dispatcher. */
  #best (candidates: readonly Candidate[]): Candidate | null {
    const least = Math.min(...candidates.map((candidate) => candidate.wait))
    return this.#draw(candidates.filter((candidate) => candidate.wait <= least))
  }

  /** The best of a few drawn at random; those that differ by less than the gossip can tell count as equal. */
  #better (candidates: readonly Candidate[]): Candidate | null {
    let left = candidates
    let best: Candidate | null = null
    for (let draw = 0; draw < defaults.CHOICES && left.length > 0; draw++) {
      const drawn = this.#draw(left)
      left = left.filter((candidate) => candidate !== drawn)
      if (drawn !== null && (best === null || drawn.wait + defaults.EQUAL_WAIT < best.wait)) best = drawn
    }
    return best
  }

  #draw (candidates: readonly Candidate[]): Candidate | null {
    return candidates[Math.floor(this.#random() * candidates.length)] ?? null
  }
}
