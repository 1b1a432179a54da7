/** Sends engine commands and records each one with its reason and result in the time line. */
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

/** Decorates another `EngineCommands` with records in the time line. */
export class RecordedEngineCommands extends EngineCommands {
  readonly #delegate: EngineCommands
  readonly #timeLine: TimeLine
  readonly #reasons = new Map<RunnerId, string>()

  /**
   * @param delegate - sends the commands
   * @param timeLine - receives the records
   */
  constructor (delegate: EngineCommands, timeLine: TimeLine) {
    super()
    this.#delegate = delegate
    this.#timeLine = timeLine
  }

  /**
   * Sets the reason that is recorded with the next command to a runner.
   *
   * @param runner - the engine
   * @param reason - a short text
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
