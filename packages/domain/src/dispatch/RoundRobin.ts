/** Baseline routing policy that uses the runners in turn. */
import type { QueuedOrder } from './DispatchQueue.js'
import type { RunnerChoice } from './RoutingPolicy.js'
import { RoutingPolicy } from './RoutingPolicy.js'
import type { Runner } from './Runner.js'

/** Chooses the next runner that has room. */
export class RoundRobin extends RoutingPolicy {
  override readonly name = 'round_robin'
  #next = 0

  override choose (queued: QueuedOrder, serving: readonly Runner[]): RunnerChoice | null {
    for (let step = 0; step < serving.length; step++) {
      const index = (this.#next + step) % serving.length
      const runner = serving[index]
      if (runner === undefined || !runner.hasRoom(queued.order)) continue
      this.#next = index + 1
      return { runner, reason: 'next in turn' }
    }
    return null
  }
}
