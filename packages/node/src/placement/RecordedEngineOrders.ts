/** Records each order to an engine with what the engine answered. */
import type { EngineCommand, EngineCommandResult, RunnerId } from '@bluebellhill/domain'
import { EventKind } from '@bluebellhill/protocol'

import type { TimeLine } from '../timeline/index.js'
import { EngineOrders } from './ports.js'

const answerText = (result: EngineCommandResult): string => {
  switch (result.kind) {
    case 'accepted': return 'accepted'
    case 'stale_fencing': return `refused: a leader with fencing number ${result.current} has given an order already`
    case 'failed': return `failed: ${result.reason}`
  }
}

/** Hands orders on and records them. */
export class RecordedEngineOrders extends EngineOrders {
  readonly #engines: EngineOrders
  readonly #timeLine: TimeLine
  readonly #reasons = new Map<RunnerId, string>()

  /**
   * @param engines - gives the orders
   * @param timeLine - where they are recorded
   */
  constructor (engines: EngineOrders, timeLine: TimeLine) {
    super()
    this.#engines = engines
    this.#timeLine = timeLine
  }

  /**
   * Notes why the next order to a runner is given.
   *
   * @param runner - the engine
   * @param reason - a few words
   */
  because (runner: RunnerId, reason: string): void {
    this.#reasons.set(runner, reason)
  }

  async give (runner: RunnerId, fencing: number, order: EngineCommand): Promise<EngineCommandResult> {
    const reason = this.#reasons.get(runner) ?? ''
    this.#reasons.delete(runner)
    const result = await this.#engines.give(runner, fencing, order)
    this.#timeLine.record(EventKind.EngineOrdered, { runner }, [reason, answerText(result)].filter((part) => part !== '').join('; '), {
      order: Object.values(order).join(' '),
      fencing: String(fencing),
      accepted: result.kind === 'accepted'
    })
    return result
  }
}
