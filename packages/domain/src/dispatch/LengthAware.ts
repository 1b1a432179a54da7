/** Routing policy that keeps short prompts from waiting behind long ones and gives idle runners to long prompts. */
import type { AttemptId, Millis } from '../types.js'
import * as defaults from './constants.js'
import type { QueuedOrder } from './DispatchQueue.js'
import { RunnerBand } from './FailureDomainView.js'
import { isLongPrompt, lengthClassOf } from './lengthClasses.js'
import type { OrderSize, RoutingContext, RunnerChoice } from './RoutingPolicy.js'
import { RoutingPolicy } from './RoutingPolicy.js'
import type { Runner } from './Runner.js'
import type { DispatchOrder } from './types.js'
import { prefillTime } from './waitTimes.js'

export interface LengthAwareOptions {
  /** Between 0, which favours the slowdown of short prompts, and 1, which favours the time to first event of long ones. */
  readonly longWeight?: number
}

/** Engine priorities that one urgency step spans: one for each length class. */
const PRIORITIES_PER_URGENCY = 4

/** From this long weight on, a long prompt on a short-band runner is never recalled. */
const NO_RECALL_LONG_WEIGHT = 0.9

/**
 * Chooses runners by prompt length.
 *
 * Each runner prefills one long prompt at a time, in the long band or, where it does not delay others, the flexible band.
 * Other prompts go to the runner with the least cost. The cost is the sum of the prompt's own wait, the delay of its
 * answer by longer prefills on the runner, and the delay that its prefill causes to the answers being generated there.
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

  override eligibleRunners (order: OrderSize, serving: readonly Runner[], context: RoutingContext): readonly Runner[] {
    if (!isLongPrompt(order.promptTokens)) return serving
    const allowed = serving.filter((runner) => context.bands.get(runner.id) !== RunnerBand.Short)
    return allowed.length > 0 ? allowed : serving
  }

  override startDelay (order: OrderSize, runner: Runner, context: RoutingContext): Millis {
    const band = context.bands.get(runner.id)
    if (!isLongPrompt(order.promptTokens)) return delayFromOthers(order, runner, context.now) + outOfBandDelay(order, band)
    const bandDelay = band === RunnerBand.Short ? defaults.NO_ELIGIBLE_RUNNER_DELAY : 0
    return bandDelay + prefillTime(runner, runner.pendingPrefill(context.now))
  }

  override attemptsToRecall (order: DispatchOrder, serving: readonly Runner[], context: RoutingContext): readonly AttemptId[] {
    if (lengthClassOf(order.promptTokens) >= defaults.MIDDLE_CLASS || this.#longWeight >= NO_RECALL_LONG_WEIGHT) return []
    const delays = serving.filter((runner) => runner.hasRoom(order)).map((runner) => delayFromOthers(order, runner, context.now))
    if (Math.min(...delays) <= defaults.RECALL_MIN_DELAY) return []
    const shortBand = serving.filter((runner) => context.bands.get(runner.id) === RunnerBand.Short)
    const candidate = minBy(shortBand.flatMap((runner) => recallCandidates(runner, context.now)), ({ prefilledShare }) => prefilledShare)
    return candidate === null ? [] : [candidate.attempt]
  }
}

const chooseForShort = (order: DispatchOrder, serving: readonly Runner[], { now, bands }: RoutingContext): RunnerChoice | null => {
  const lengthClass = lengthClassOf(order.promptTokens)
  const withRoom = serving.filter((runner) => runner.hasRoom(order) && hasPrefillBudget(runner, lengthClass, now))
  const best = minBy(withRoom, (runner) => delayFromOthers(order, runner, now) + ownPrefillTime(order, runner) + outOfBandDelay(order, bands.get(runner.id)) + lossToOthers(order, runner, bands.get(runner.id)))
  if (best === null) return null
  return { runner: best, reason: `least cost, ${Math.round(delayFromOthers(order, best, now))} ms lost to others' prefill` }
}

/**
 * Whether the prefill ahead of a new prompt on the runner is only a few chunks long.
 *
 * Otherwise the prompt stays in the dispatcher's queue, where it can still be reordered.
 */
const hasPrefillBudget = (runner: Runner, lengthClass: number, now: Millis): boolean => {
  const chunks = runner.interference > defaults.UNRANKED_INTERFERENCE ? defaults.CHUNKS_AHEAD_UNRANKED : defaults.CHUNKS_AHEAD
  const { ahead } = runner.pendingAheadAndBehind(lengthClass, now)
  return ahead === 0 || ahead < chunks * runner.chunkTokens
}

const chooseForLong = (queued: QueuedOrder, serving: readonly Runner[], context: RoutingContext): RunnerChoice | null => {
  const { order } = queued
  const withRoom = serving.filter((runner) => runner.hasRoom(order) && !runner.hasLongPrefill)
  const inBand = (band: RunnerBand | undefined) => withRoom.filter((runner) => context.bands.get(runner.id) === band)
  const cost = (runner: Runner): number => runner.pendingPrefill(context.now) - runner.cachedTokens(order)
  const own = minBy([...inBand(RunnerBand.Long), ...inBand(undefined)], cost)
  if (own !== null) return { runner: own, reason: 'runner for long prompts' }
  const flexible = minBy(inBand(RunnerBand.Flexible).filter((runner) => canStartLongPrompt(runner, context.now)), cost)
  if (flexible !== null) return { runner: flexible, reason: 'runner lent to a long prompt' }
  if (!mayUseAnyRunner(queued, serving, context)) return null
  const fallback = minBy(withRoom, cost)
  return fallback === null ? null : { runner: fallback, reason: 'no runner for long prompts in time' }
}

/** Whether a flexible runner may start a long prompt: its engine ranks by priority, or no prefill is pending. */
const canStartLongPrompt = (runner: Runner, now: Millis): boolean =>
  runner.interference < defaults.UNRANKED_INTERFERENCE || runner.pendingPrefill(now) === 0

/** Whether a long prompt may use any runner: it waited for a large share of its time, or all runners are in the short band. */
const mayUseAnyRunner = (queued: QueuedOrder, serving: readonly Runner[], { now, bands }: RoutingContext): boolean => {
  const onlyShortBand = serving.every((runner) => bands.get(runner.id) === RunnerBand.Short)
  const waited = now - queued.queuedAt
  return onlyShortBand || waited >= (queued.deadline - queued.queuedAt) * defaults.ANY_RUNNER_WAIT_SHARE
}

/** Expected delay of a prompt and its answer by the other prefills that are pending on the runner. */
const delayFromOthers = (order: OrderSize, runner: Runner, now: Millis): Millis => {
  const { ahead, behind } = runner.pendingAheadAndBehind(lengthClassOf(order.promptTokens), now)
  const longerPrefill = prefillTime(runner, behind)
  const step = prefillTime(runner, runner.chunkTokens)
  const delayBefore = Math.min(longerPrefill, step + runner.interference * longerPrefill)
  const delayDuring = Math.min(longerPrefill, order.maxTokens * step)
  return prefillTime(runner, ahead) + delayBefore + delayDuring
}

/** Expected delay of one of the shortest prompts on a runner outside the short band, where longer prompts may arrive later. */
const outOfBandDelay = (order: OrderSize, band: RunnerBand | undefined): Millis =>
  band !== undefined && band !== RunnerBand.Short && lengthClassOf(order.promptTokens) < defaults.MIDDLE_CLASS ? defaults.OUT_OF_BAND_DELAY : 0

/** Weighted delay that a prompt's prefill causes to the answers being generated on a runner and to short prompts expected there. */
const lossToOthers = (order: DispatchOrder, runner: Runner, band: RunnerBand | undefined): Millis => {
  const isOutOfBand = band === RunnerBand.Short && lengthClassOf(order.promptTokens) >= defaults.MIDDLE_CLASS
  const weight = defaults.DECODE_LOSS_WEIGHT * runner.decodingAttempts + (isOutOfBand ? defaults.SHORT_BAND_LOSS_WEIGHT : 0)
  return weight * ownPrefillTime(order, runner)
}

const ownPrefillTime = (order: DispatchOrder, runner: Runner): Millis =>
  prefillTime(runner, order.promptTokens - runner.cachedTokens(order))

/** Long attempts without a first token whose computed share of the prefill is below `RECALL_MAX_PREFILL_SHARE`. */
const recallCandidates = (runner: Runner, now: Millis): readonly { readonly attempt: AttemptId, readonly prefilledShare: number }[] =>
  [...runner.attempts.values()]
    .filter((attempt) => attempt.isPrefilling && !attempt.isRecalled && isLongPrompt(attempt.order.promptTokens))
    .map((attempt) => ({ attempt: attempt.id, prefilledShare: 1 - attempt.pendingPrefill(now, runner.prefillRate) / attempt.order.promptTokens }))
    .filter(({ prefilledShare }) => prefilledShare < defaults.RECALL_MAX_PREFILL_SHARE)

const minBy = <Item>(items: readonly Item[], cost: (item: Item) => number): Item | null => {
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
