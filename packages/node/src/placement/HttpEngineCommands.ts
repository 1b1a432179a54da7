/** Gives the leader's orders to engines. */
import type { EngineCommand, EngineCommandResult, RunnerId } from '@bluebellhill/domain'
import { describeFailure } from '@bluebellhill/services'
import type { ModelEngine } from '@bluebellhill/services'

import type { RunnerDirectory } from '../dispatch/RunnerDirectory.js'
import { EngineCommands } from './ports.js'

/** Reaches engines over HTTP. */
export class HttpEngineCommands extends EngineCommands {
  readonly #directory: RunnerDirectory
  readonly #engineAt: (address: string) => ModelEngine

  constructor (directory: RunnerDirectory, engineAt: (address: string) => ModelEngine) {
    super()
    this.#directory = directory
    this.#engineAt = engineAt
  }

  async send (runner: RunnerId, fencing: number, command: EngineCommand): Promise<EngineCommandResult> {
    const backend = this.#directory.find(runner)
    if (backend === undefined) return { kind: 'failed', reason: 'the runner is not known any more' }
    const response = await this.#engineAt(backend.address).order(fencing, command)
    if (!response.ok) return { kind: 'failed', reason: describeFailure(response.failure) }
    return response.value.accepted ? { kind: 'accepted' } : { kind: 'stale_fencing', current: response.value.currentFencing }
  }
}
