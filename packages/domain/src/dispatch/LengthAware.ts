/** Keeps short prompts from waiting behind long ones. */
import type { Tokens } from '../types.js'
import type { QueuedOrder } from './DispatchQueue.js'
import { isLongPrompt, lengthClassOf } from './lengths.js'
import type { RoutingContext, RunnerChoice } from './RoutingPolicy.js'
import { RoutingPolicy } from './RoutingPolicy.js'
import type { Runner } from './Runner.js'
import type { DispatchOrder } from './types.js'

/** Prefers the runner with the earliest first token, and confines long prompts to some runners. */
export class LengthAware extends RoutingPolicy {
  override readonly name = 'length_aware'

  override choose (queued: QueuedOrder, serving: readonly Runner[], context: RoutingContext): RunnerChoice | null {
    const open = serving.filter((runner) => runner.hasRoom(queued.order))
    const long = isLongPrompt(queued.order.promptTokens)
    const own = open.filter((runner) => context.longRunners.has(runner.id) === long)
    const candidates = own.length > 0 ? own : open
    const best = leastBy(candidates, (runner) => firstTokenWork(runner, queued.order))
    if (best === null) return null
    return { runner: best, reason: `${own.length > 0 ? 'own' : 'other'} runners, ${Math.round(firstTokenWork(best, queued.order))} tokens to the first answer` }
  }

  override priority (order: DispatchOrder): number {
    return order.urgency * 4 + lengthClassOf(order.promptTokens)
  }
}

/** Prompt tokens that the runner computes before the order's first token. */
const firstTokenWork = (runner: Runner, order: DispatchOrder): Tokens =>
  runner.pendingPrefill + order.promptTokens - runner.cachedTokens(order)

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
