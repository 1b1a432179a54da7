/** Plans all arrivals of a run from its seed. */
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator'

import { drawBetween, drawLength } from './lengths.js'
import { arrivalGapMs, uniformReal, weightedIndex } from './random.js'
import { ArrivalKind } from './types.js'
import type { Arrival, Burst, LoadOptions } from './types.js'

type Draft = Omit<Arrival, 'id'>

const ORDER_SEED = 1
const BURST_SEED = 2

/** Draws arrivals of one kind. */
class Planner {
  private readonly random: RandomGenerator
  private readonly weights: readonly number[]

  constructor (private readonly options: LoadOptions, stream: number) {
    this.random = xoroshiro128plus(options.seed * 16 + stream)
    this.weights = options.organisations.map(({ weight }) => weight)
  }

  completions (): Draft[] {
    const { perSecond, cutTokens } = this.options
    return this.times(perSecond).map((atMs) => this.completion(atMs, Math.min(cutTokens, drawLength(this.random))))
  }

  burst ({ atMs, count, minTokens, maxTokens }: Burst): Draft[] {
    return Array.from({ length: count }, () => this.completion(atMs, drawBetween(this.random, minTokens, maxTokens)))
  }

  orders (): Draft[] {
    const { orders } = this.options
    if (!orders) return []
    return this.times(orders.perSecond).map((atMs) => ({
      kind: ArrivalKind.Order,
      atMs,
      organisation: weightedIndex(this.random, this.weights),
      promptTokens: 0,
      maxTokens: 0,
      twice: uniformReal(this.random) < orders.twiceShare
    }))
  }

  private completion (atMs: number, promptTokens: number): Draft {
    const { minAnswerTokens, maxAnswerTokens } = this.options
    const organisation = weightedIndex(this.random, this.weights)
    const maxTokens = drawBetween(this.random, minAnswerTokens, maxAnswerTokens)
    return { kind: ArrivalKind.Completion, atMs, organisation, promptTokens, maxTokens, twice: false }
  }

  private times (perSecond: number): number[] {
    const times: number[] = []
    if (perSecond <= 0) return times
    let at = arrivalGapMs(this.random, perSecond)
    while (at < this.options.durationMs && times.length < this.options.maxRequests) {
      times.push(at)
      at += arrivalGapMs(this.random, perSecond)
    }
    return times
  }
}

/**
 * Plans a run.
 *
 * @param options - seed, rates and mix
 * @returns the arrivals in order of time; ids do not depend on `longestTokens`
 */
export const makeSchedule = (options: LoadOptions): Arrival[] => {
  const bursts = new Planner(options, BURST_SEED)
  const drafts = [
    ...new Planner(options, 0).completions(),
    ...options.bursts.flatMap((burst) => bursts.burst(burst)),
    ...new Planner(options, ORDER_SEED).orders()
  ]
  return drafts
    .sort((one, other) => one.atMs - other.atMs)
    .slice(0, options.maxRequests)
    .map((draft, id) => ({ id, ...draft }))
    .filter(({ promptTokens }) => promptTokens <= options.longestTokens)
}
