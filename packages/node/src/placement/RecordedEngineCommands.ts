/** Records each order to an engine with what the engine answered. */
import type { EngineCommand, EngineCommandResult, RunnerId } from '@bluebellhill/domain'
import { EventKind } from '@bluebellhill/protocol'

import type { TimeLine } from '../timeline/index.js'
import { EngineCommands } from './ports.js'

const describeResult = (result: EngineCommandResult): string => {
  switch (result.kind) {
    case 'accepted': return 'accepted'
    case 'stale_fencing': return `refused: a leader with fencing number ${result.current} has given an order already`
    case 'failed': return `failed: ${result.reason}`
  }
}

/** Hands orders on and records them. */
export class RecordedEngineCommands extends EngineCommands {
  readonly #delegate: EngineCommands
  readonly #timeLine: TimeLine
  readonly #reasons = new Map<RunnerId, string>()

  /**
   * @param delegate - gives the orders
   * @param timeLine - where they are recorded
   */
  constructor (delegate: EngineCommands, timeLine: TimeLine) {
    super()
    this.#delegate = delegate
    this.#timeLine = timeLine
  }

  /**
   * Notes why the next order to a runner is given.
   *
   * @param runner - the engine
   * @param reason - a few words
   */
  setReason (runner: RunnerId, reason: string): void {
    this.#reasons.set(runner, reason)
  }

  async send (runner: RunnerId, fencing: number, command: EngineCommand): Promise<EngineCommandResult> {
    const reason = this.#reasons.get(runner) ?? ''
    this.#reasons.delete(runner)
    const result = await this.#delegate.send(runner, fencing, command)
    this.#timeLine.record(EventKind.EngineOrdered, { runner }, [reason, describeResult(result)].filter((text) => text !== '').join('; '), {
      order: Object.values(command).join(' '),
      fencing: String(fencing),
      accepted: result.kind === 'accepted'
    })
    return result
  }
}
