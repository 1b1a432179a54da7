/** Keeps short prompts from waiting behind long ones, and lets long ones use what is idle. */
import type { AttemptId, Millis } from '../types.js'
import * as defaults from './constants.js'
import type { QueuedOrder } from './DispatchQueue.js'
import { RunnerBand } from './DomainView.js'
import { isLongPrompt, lengthClassOf } from './lengths.js'
import type { OrderSize, RoutingContext, RunnerChoice } from './RoutingPolicy.js'
import { RoutingPolicy } from './RoutingPolicy.js'
import type { Runner } from './Runner.js'
import type { DispatchOrder } from './types.js'
import { prefillTime } from './WaitEstimate.js'

/** Settings of the policy. */
export interface LengthAwareOptions {
  /** 0 favours the slowdown of short prompts, 1 the first token of long ones. */
  readonly longWeight?: number
}

/** Steps of the priority between one urgency and the next. */
const PRIORITIES_PER_URGENCY = 4

/** Weight from which on a long prompt that was let in is never recalled. */
const NO_RECALL_WEIGHT = 0.9

/**
 * Long prompts run one at a time, on the runners of the long band and on idle ones of the flexible band.
 * Others take the runner where they cost least: their own wait, what their answer loses beside a longer prefill, and
 * what their prefill takes from the answers being generated there.
 */
export class LengthAware extends RoutingPolicy {
  override readonly name = 'length_aware'
  readonly #longWeight: number

  constructor (options: LengthAwareOptions = {}) {
    super()
    this.#longWeight = options.longWeight ?? 0.5
  }

  override get longWeight (): number {
    return this.#longWeight
  }

  override choose (queued: QueuedOrder, serving: readonly Runner[], context: RoutingContext): RunnerChoice | null {
    return isLongPrompt(queued.order.promptTokens)
      ? chooseForLong(queued, serving, context)
      : chooseForShort(queued.order, serving, context)
  }

  override priority (order: DispatchOrder): number {
    return order.urgency * PRIORITIES_PER_URGENCY + lengthClassOf(order.promptTokens)
  }

  override eligible (order: OrderSize, serving: readonly Runner[], context: RoutingContext): readonly Runner[] {
    if (!isLongPrompt(order.promptTokens)) return serving
    const allowed = serving.filter((runner) => context.bands.get(runner.id) !== RunnerBand.Short)
    return allowed.length > 0 ? allowed : serving
  }

  override startDelay (order: OrderSize, runner: Runner, context: RoutingContext): Millis {
    const band = context.bands.get(runner.id)
    if (!isLongPrompt(order.promptTokens)) return shortDelay(order, runner, context.now) + outsideDelay(order, band)
    const misplaced = band === RunnerBand.Short ? defaults.MISPLACED_DELAY : 0
    return misplaced + prefillTime(runner, runner.pendingPrefill(context.now))
  }

  override recalls (order: DispatchOrder, serving: readonly Runner[], context: RoutingContext): readonly AttemptId[] {
    if (lengthClassOf(order.promptTokens) >= defaults.MIDDLE_CLASS || this.#longWeight >= NO_RECALL_WEIGHT) return []
    const delays = serving.filter((runner) => runner.hasRoom(order)).map((runner) => shortDelay(order, runner, context.now))
    if (Math.min(...delays) <= defaults.RECALL_DELAY) return []
    const lent = serving.filter((runner) => context.bands.get(runner.id) === RunnerBand.Short)
    const least = leastBy(lent.flatMap((runner) => recallable(runner, context.now)), ({ done }) => done)
    return least === null ? [] : [least.attempt]
  }
}

const chooseForShort = (order: DispatchOrder, serving: readonly Runner[], { now, bands }: RoutingContext): RunnerChoice | null => {
  const lengthClass = lengthClassOf(order.promptTokens)
  const open = serving.filter((runner) => runner.hasRoom(order) && hasBudget(runner, lengthClass, now))
  const best = leastBy(open, (runner) => shortDelay(order, runner, now) + ownPrefill(order, runner) + outsideDelay(order, bands.get(runner.id)) + harm(order, runner, bands.get(runner.id)))
  if (best === null) return null
  return { runner: best, reason: `least cost, ${Math.round(shortDelay(order, best, now))} ms lost to others' prefill` }
}

/** Whether the prefill before a new prompt still fits into a few steps; what does not is better ranked here. */
const hasBudget = (runner: Runner, lengthClass: number, now: Millis): boolean => {
  const chunks = runner.interference > defaults.UNRANKED_INTERFERENCE ? defaults.CHUNKS_AHEAD_UNRANKED : defaults.CHUNKS_AHEAD
  const { ahead } = runner.pendingAround(lengthClass, now)
  return ahead === 0 || ahead < chunks * runner.chunkTokens
}

const chooseForLong = (queued: QueuedOrder, serving: readonly Runner[], context: RoutingContext): RunnerChoice | null => {
  const { order } = queued
  const open = serving.filter((runner) => runner.hasRoom(order) && !runner.hasLongPrefill)
  const inBand = (band: RunnerBand | undefined) => open.filter((runner) => context.bands.get(runner.id) === band)
  const cost = (runner: Runner): number => runner.pendingPrefill(context.now) - runner.cachedTokens(order)
  const own = leastBy([...inBand(RunnerBand.Long), ...inBand(undefined)], cost)
  if (own !== null) return { runner: own, reason: 'runner for long prompts' }
  const lent = leastBy(inBand(RunnerBand.Flexible).filter((runner) => canLend(runner, context.now)), cost)
  if (lent !== null) return { runner: lent, reason: 'runner lent to a long prompt' }
  if (!isLate(queued, serving, context)) return null
  const any = leastBy(open, cost)
  return any === null ? null : { runner: any, reason: 'no runner for long prompts in time' }
}

/** Whether a long prompt may come in: middle prompts go before it, or there are none. */
const canLend = (runner: Runner, now: Millis): boolean =>
  runner.interference < defaults.UNRANKED_INTERFERENCE || runner.pendingPrefill(now) === 0

/** Whether an order has waited long, or no runner here is meant for it. */
const isLate = (queued: QueuedOrder, serving: readonly Runner[], { now, bands }: RoutingContext): boolean => {
  const misplaced = serving.every((runner) => bands.get(runner.id) === RunnerBand.Short)
  const waited = now - queued.queuedAt
  return misplaced || waited >= (queued.deadline - queued.queuedAt) * defaults.LATE_SHARE
}

/** Time on a runner before a prompt's own prefill, with what its answer loses beside a longer one. */
const shortDelay = (order: OrderSize, runner: Runner, now: Millis): Millis => {
  const { ahead, behind } = runner.pendingAround(lengthClassOf(order.promptTokens), now)
  const longer = prefillTime(runner, behind)
  const step = prefillTime(runner, runner.chunkTokens)
  const before = Math.min(longer, step + runner.interference * longer)
  const during = Math.min(longer, order.maxTokens * step)
  return prefillTime(runner, ahead) + before + during
}

/** Time that one of the shortest prompts is to lose where longer ones come in beside it. */
const outsideDelay = (order: OrderSize, band: RunnerBand | undefined): Millis =>
  band !== undefined && band !== RunnerBand.Short && lengthClassOf(order.promptTokens) < defaults.MIDDLE_CLASS ? defaults.OUTSIDE_DELAY : 0

/** Time that a prompt's prefill takes from others on a runner: answers under way, and short prompts still to come. */
const harm = (order: DispatchOrder, runner: Runner, band: RunnerBand | undefined): Millis => {
  const guest = band === RunnerBand.Short && lengthClassOf(order.promptTokens) >= defaults.MIDDLE_CLASS
  const weight = defaults.HARM_WEIGHT * runner.decoding + (guest ? defaults.GUEST_HARM : 0)
  return weight * ownPrefill(order, runner)
}

const ownPrefill = (order: DispatchOrder, runner: Runner): Millis =>
  prefillTime(runner, order.promptTokens - runner.cachedTokens(order))

/** Long attempts without a token whose prefill is not far advanced. */
const recallable = (runner: Runner, now: Millis): readonly { readonly attempt: AttemptId, readonly done: number }[] =>
  [...runner.attempts.values()]
    .filter((attempt) => attempt.isPrefilling && !attempt.recalled && isLongPrompt(attempt.order.promptTokens))
    .map((attempt) => ({ attempt: attempt.id, done: 1 - attempt.pendingPrefill(now, runner.prefillRate) / attempt.order.promptTokens }))
    .filter(({ done }) => done < defaults.RECALL_LIMIT)

const leastBy = <Item>(items: readonly Item[], cost: (item: Item) => number): Item | null => {
  let best: Item | null = null
  let least = Infinity
  for (const item of items) {
    const value = cost(item)
    if (value >= least) continue
    best = item
    least = value
  }
  return best
}
